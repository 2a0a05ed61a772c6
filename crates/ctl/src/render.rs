//! Columns for people.

use std::fmt::Write as _;

const GAP: &str = "  ";

/// A table with a head line.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// A table with these column names.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|name| name.to_uppercase()).collect();
        Self { rows: vec![head] }
    }

    /// Adds a line.
    pub fn push(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().collect());
    }

    /// The table as text, each column as wide as its widest cell.
    pub fn to_text(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, "{cell:width$}{GAP}");
            }
            text.push_str(line.trim_end());
            text.push('\n');
        }
        text
    }

    fn widths(&self) -> Vec<usize> {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |column: usize| {
            let cells = self.rows.iter().filter_map(|row| row.get(column));
            cells
                .map(|cell: &String| cell.chars().count())
                .max()
                .unwrap_or(0)
        };
        (0..columns).map(width).collect()
    }
}

/// Milliseconds with their unit, or `-`.
pub fn millis(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |it| format!("{it}ms"))
}

/// `yes` or an empty cell.
pub fn flag(value: bool) -> String {
    if value {
        "yes".to_owned()
    } else {
        String::new()
    }
}
