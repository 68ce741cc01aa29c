package model

import (
	"os"
	"regexp"
	"strings"
	"testing"
)

var kindConstant = regexp.MustCompile(`RefusalKind = "([a-z_]+)"`)

// TestEveryKindIsExplained checks that docs/OPERATIONS.md documents each kind of refusal.
func TestEveryKindIsExplained(t *testing.T) {
	source, err := os.ReadFile("refusal.go")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/OPERATIONS.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range kindConstant.FindAllStringSubmatch(string(source), -1) {
		if !strings.Contains(string(page), "| `"+m[1]+"` |") {
			t.Errorf("docs/OPERATIONS.md does not explain %s", m[1])
		}
	}
}
