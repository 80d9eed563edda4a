package jujubedocs_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"unicode"
)

var (
	link    = regexp.MustCompile(`\]\(([^)\s]+)\)`)
	heading = regexp.MustCompile(`(?m)^#+ +(.*)$`)
)

// TestLinks guards against links to pages and headings that don't exist.
func TestLinks(t *testing.T) {
	root := findRoot(t)
	for _, page := range listPages(t) {
		for _, match := range link.FindAllStringSubmatch(readPage(t, page), -1) {
			target, anchor, _ := strings.Cut(match[1], "#")
			if strings.Contains(target, ":") {
				continue
			}
			path := page
			if target != "" {
				path = filepath.Join(filepath.Dir(page), target)
			}
			if _, err := os.Stat(filepath.Join(root, path)); err != nil {
				t.Errorf("%s: link to %s: %s", page, match[1], err)
				continue
			}
			if anchor != "" && !listAnchors(readPage(t, path))[anchor] {
				t.Errorf("%s: link to %s: %s has no heading with this anchor", page, match[1], path)
			}
		}
	}
}

// listAnchors returns the anchors that Markdown renderers generate for the headings of a page.
func listAnchors(text string) map[string]bool {
	anchors := map[string]bool{}
	for _, match := range heading.FindAllStringSubmatch(text, -1) {
		anchor := strings.Map(func(r rune) rune {
			switch {
			case r == ' ':
				return '-'
			case unicode.IsLetter(r), unicode.IsDigit(r), r == '-', r == '_':
				return unicode.ToLower(r)
			}
			return -1
		}, match[1])
		unique := anchor
		for n := 1; anchors[unique]; n++ {
			unique = anchor + "-" + strconv.Itoa(n)
		}
		anchors[unique] = true
	}
	return anchors
}
