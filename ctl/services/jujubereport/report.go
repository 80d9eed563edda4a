// Package jujubereport gathers what the entry instances say and prints it as tables or JSON.
package jujubereport

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pkg/errors"
)

// Table is a title, column names and rows of the same length.
type Table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

// Add appends a row; values are printed in their usual form.
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

// PrintTables writes aligned columns, with an empty line between tables.
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
