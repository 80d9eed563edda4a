// Package jujubereport collects the status of entry instances and prints it as tables or JSON.
package jujubereport

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Table has an optional title, column names and rows with a cell for each column.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

// Add appends a row with the values in their default format. An empty value is shown as "-".
func (t *Table) Add(values ...any) {
	row := make([]string, len(values))
	for i, value := range values {
		row[i] = fmt.Sprint(value)
		if row[i] == "" {
			row[i] = "-"
		}
	}
	t.Rows = append(t.Rows, row)
}

// PrintTables writes tables with aligned columns, separated by empty lines.
func PrintTables(output io.Writer, tables ...Table) error {
	writer := tabwriter.NewWriter(output, 0, 0, 2, ' ', 0)
	for i, table := range tables {
		if i > 0 {
			_, _ = fmt.Fprintln(writer)
		}
		if table.Title != "" {
			_, _ = fmt.Fprintln(writer, table.Title)
		}
		_, _ = fmt.Fprintln(writer, strings.Join(table.Columns, "\t"))
		for _, row := range table.Rows {
			_, _ = fmt.Fprintln(writer, strings.Join(row, "\t"))
		}
	}
	return errors.Wrap(writer.Flush(), "print tables")
}

// PrintJSON writes indented JSON.
func PrintJSON(output io.Writer, value any) error {
	encoder := json.NewEncoder(output)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print JSON")
}
