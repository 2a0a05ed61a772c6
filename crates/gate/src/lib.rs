//! Data path: checks keys, admits, queues and forwards requests.
