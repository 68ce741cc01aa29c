// Package parser reads service documents and process settings strictly and reports every error of a file at once.
package parser

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Fault is one error of a file, with its position, the rejected value and the remedy.
type Fault struct {
	File   string `json:"file"`
	Line   int    `json:"line"`
	Column int    `json:"column"`
	Key    string `json:"key"`
	Value  string `json:"value,omitempty"`
	Remedy string `json:"remedy"`
}

// Error formats the fault with a leading file:line:column, which editors understand.
func (f Fault) Error() string {
	value := ""
	if f.Value != "" {
		value = fmt.Sprintf(" has %q", f.Value)
	}
	return fmt.Sprintf("%s:%d:%d: %s%s: %s", f.File, f.Line, f.Column, f.Key, value, f.Remedy)
}

// Faults lists all errors of a file in order of position.
type Faults []Fault

// Error returns the faults, one per line.
func (fs Faults) Error() string {
	lines := make([]string, len(fs))
	for i, f := range fs {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

func (fs Faults) sorted() Faults {
	slices.SortStableFunc(fs, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return fs
}
