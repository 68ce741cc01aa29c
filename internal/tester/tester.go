// Package tester loads test cases from data files.
package tester

import (
	"os"
	"testing"

	"github.com/goccy/go-yaml"
)

// Load returns the cases in a YAML file below testdata; an unknown field fails the test.
func Load[T any](t *testing.T, file string) []T {
	t.Helper()
	b, err := os.ReadFile("testdata/" + file)
	if err != nil {
		t.Fatal(err)
	}
	var cases []T
	if err := yaml.UnmarshalWithOptions(b, &cases, yaml.Strict()); err != nil {
		t.Fatal(err)
	}
	return cases
}
