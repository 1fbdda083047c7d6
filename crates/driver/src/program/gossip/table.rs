//! Rendering of answers to operators.

use serde_json::{Map, Value};

/// Renders lists of rows as JSON, or as one table per list.
pub fn render(value: &Value, as_json: bool) -> String {
    if as_json {
        return serde_json::to_string_pretty(value).unwrap_or_default() + "\n";
    }
    let sections = value.as_object().into_iter().flatten();
    sections.map(|(name, rows)| render_section(name, rows)).collect()
}

/// Renders a list of rows as a table.
fn render_section(name: &str, rows: &Value) -> String {
    let rows = rows.as_array().into_iter().flatten();
    let rows: Vec<&Map<String, Value>> = rows.filter_map(Value::as_object).collect();
    let mut text = format!("{name}: {}\n", rows.len());
    let Some(first) = rows.first() else {
        return text;
    };
    let columns: Vec<&str> = first.keys().map(String::as_str).collect();
    let column_width = |column: &&str| {
        let cells = rows.iter().map(|row| cell(&row[*column]).len());
        cells.chain([column.len()]).max().unwrap_or(0)
    };
    let widths: Vec<usize> = columns.iter().map(column_width).collect();
    text += &render_line(&columns, &widths);
    for row in &rows {
        let cells: Vec<String> = columns.iter().map(|column| cell(&row[*column])).collect();
        let cells: Vec<&str> = cells.iter().map(String::as_str).collect();
        text += &render_line(&cells, &widths);
    }
    text
}

fn render_line(cells: &[&str], widths: &[usize]) -> String {
    let cells = cells.iter().zip(widths);
    let padded: Vec<String> = cells.map(|(cell, width)| format!("{cell:<width$}")).collect();
    format!("  {}\n", padded.join("  ").trim_end())
}

fn cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        value => value.to_string(),
    }
}
