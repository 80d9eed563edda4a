// Package jujubedocs_test checks that the pages in docs/ agree with the code.
package jujubedocs_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// findRoot returns the nearest parent directory that contains go.work, which is the root of the repository.
func findRoot(t *testing.T) string {
	t.Helper()
	directory, err := os.Getwd()
	assert.NilError(t, err)
	for {
		if _, err := os.Stat(filepath.Join(directory, "go.work")); err == nil {
			return directory
		}
		parent := filepath.Dir(directory)
		if parent == directory {
			t.Fatal("no parent directory contains go.work")
		}
		directory = parent
	}
}

// readPage returns the content of a file, whose path is relative to the root.
func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(findRoot(t), path))
	assert.NilError(t, err)
	return string(data)
}

// listPages returns the paths of all pages, relative to the root.
func listPages(t *testing.T) []string {
	t.Helper()
	root := findRoot(t)
	found, err := filepath.Glob(filepath.Join(root, "docs", "*.md"))
	assert.NilError(t, err)
	pages := []string{"README.md", "CONTRIBUTING.md"}
	for _, path := range found {
		page, err := filepath.Rel(root, path)
		assert.NilError(t, err)
		pages = append(pages, page)
	}
	return pages
}

// readTable returns the rows of the table whose header line starts with header, by their first cell without backquotes. It
// doesn't support vertical bars within cells, which the pages don't use.
func readTable(t *testing.T, path, header string) map[string][]string {
	t.Helper()
	lines := strings.Split(readPage(t, path), "\n")
	headerIndex := slices.IndexFunc(lines, func(line string) bool { return strings.HasPrefix(line, header) })
	assert.Assert(t, headerIndex >= 0, "%s has no table %q", path, header)
	columns := len(splitRow(lines[headerIndex]))
	rows := map[string][]string{}
	for _, line := range lines[headerIndex+2:] {
		if !strings.HasPrefix(line, "|") {
			break
		}
		cells := splitRow(line)
		assert.Equal(t, len(cells), columns, "%s: %s", path, line)
		key := strings.Trim(cells[0], "`")
		_, isDuplicate := rows[key]
		assert.Assert(t, !isDuplicate, "%s has two rows for %s", path, key)
		rows[key] = cells
	}
	return rows
}

// splitRow returns the trimmed cells of a table row.
func splitRow(line string) []string {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

// checkKeys reports keys of the code without a row and rows without a key in the code.
func checkKeys(t *testing.T, path string, codeKeys []string, rows map[string][]string) {
	t.Helper()
	for _, key := range codeKeys {
		if _, ok := rows[key]; !ok {
			t.Errorf("%s has no row for %s", path, key)
		}
	}
	for key := range rows {
		if !slices.Contains(codeKeys, key) {
			t.Errorf("%s has a row for %s, which doesn't exist in the code", path, key)
		}
	}
}
