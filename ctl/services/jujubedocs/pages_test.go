// Package jujubedocs_test holds the pages in docs/ against the code.
package jujubedocs_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// findRoot walks up to the directory that has go.work.
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
			t.Fatal("no directory above the test has go.work")
		}
		directory = parent
	}
}

func readPage(t *testing.T, path string) string {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(findRoot(t), path))
	assert.NilError(t, err)
	return string(data)
}

// listPages returns the paths, from the root, of all pages.
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

// readTable returns the rows of the table that begins with a header line, by their first cell without backquotes. Pages
// have no vertical bars within cells.
func readTable(t *testing.T, path, header string) map[string][]string {
	t.Helper()
	lines := strings.Split(readPage(t, path), "\n")
	at := slices.IndexFunc(lines, func(line string) bool { return strings.HasPrefix(line, header) })
	assert.Assert(t, at >= 0, "%s has no table %q", path, header)
	columns := len(splitRow(lines[at]))
	rows := map[string][]string{}
	for _, line := range lines[at+2:] {
		if !strings.HasPrefix(line, "|") {
			break
		}
		cells := splitRow(line)
		assert.Equal(t, len(cells), columns, "%s: %s", path, line)
		key := strings.Trim(cells[0], "`")
		_, twice := rows[key]
		assert.Assert(t, !twice, "%s has two rows for %s", path, key)
		rows[key] = cells
	}
	return rows
}

func splitRow(line string) []string {
	cells := strings.Split(strings.Trim(line, "|"), "|")
	for i := range cells {
		cells[i] = strings.TrimSpace(cells[i])
	}
	return cells
}

// checkKeys reports the keys that only the code or only the page has.
func checkKeys(t *testing.T, path string, code []string, rows map[string][]string) {
	t.Helper()
	for _, key := range code {
		if _, ok := rows[key]; !ok {
			t.Errorf("%s has no row for %s", path, key)
		}
	}
	for key := range rows {
		if !slices.Contains(code, key) {
			t.Errorf("%s has a row for %s, which the code doesn't have", path, key)
		}
	}
}
