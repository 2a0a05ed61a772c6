//! Text tables for operators.

use std::fmt::Write as _;

const COLUMN_GAP: &str = "  ";

/// Table whose first row holds the column names.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with these column names, which are written in upper case.
    pub fn new(head: &[&str]) -> Self {
        let head = head.iter().map(|name| name.to_uppercase()).collect();
        Self { rows: vec![head] }
    }

    /// Appends a row, with one cell for each column.
    pub fn push(&mut self, row: impl IntoIterator<Item = String>) {
        self.rows.push(row.into_iter().collect());
    }

    /// Returns the table as text, with each column as wide as its widest cell.
    pub fn to_text(&self) -> String {
        let widths = self.widths();
        let mut text = String::new();
        for row in &self.rows {
            let mut line = String::new();
            for (cell, width) in row.iter().zip(&widths) {
                let _ = write!(line, "{cell:width$}{COLUMN_GAP}");
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

/// Returns a duration in milliseconds with its unit; `-` for `None`.
pub fn millis(value: Option<u64>) -> String {
    value.map_or_else(|| "-".to_owned(), |millis| format!("{millis}ms"))
}

/// Returns `yes`, or an empty cell for `false`.
pub fn flag(value: bool) -> String {
    if value {
        "yes".to_owned()
    } else {
        String::new()
    }
}
