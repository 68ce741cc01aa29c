package logger

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var update = flag.Bool("update", false, "rewrite the golden list of log fields and messages")

// loggedPackages are the packages whose log lines on-call engineers search.
var loggedPackages = []string{"forwarder", "follower", "shifter", "quarantiner", "gossiper", "limiter", "admitter", "logger", "cli"}

// fieldMethods are zerolog's methods whose first argument names a field.
var fieldMethods = []string{"Str", "Int", "Int64", "Bool", "Dur", "Float64", "AnErr"}

// TestFields compares the names of all log fields and the texts of all messages with a golden file, since
// saved searches and alerts depend on them.
func TestFields(t *testing.T) {
	fields, messages := map[string]bool{}, map[string]bool{}
	for _, pkg := range loggedPackages {
		files, err := filepath.Glob("../" + pkg + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			if strings.HasSuffix(file, "_test.go") {
				continue
			}
			tree, err := parser.ParseFile(token.NewFileSet(), file, nil, 0)
			if err != nil {
				t.Fatal(err)
			}
			ast.Inspect(tree, func(n ast.Node) bool {
				collectNames(n, fields, messages)
				return true
			})
		}
	}
	var got strings.Builder
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		got.WriteString("field " + name + "\n")
	}
	for _, text := range slices.Sorted(maps.Keys(messages)) {
		got.WriteString("message " + text + "\n")
	}
	const golden = "testdata/fields.txt"
	if *update {
		if err := os.WriteFile(golden, []byte(got.String()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(golden)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got.String()); diff != "" {
		t.Errorf("log fields or messages changed; inform the on-call engineers, then run with -update (-want +got):\n%s", diff)
	}
}

// collectNames adds the field name or the message in a call of a logger's method.
func collectNames(n ast.Node, fields, messages map[string]bool) {
	call, ok := n.(*ast.CallExpr)
	if !ok || len(call.Args) == 0 {
		return
	}
	method, ok := call.Fun.(*ast.SelectorExpr)
	if !ok {
		return
	}
	lit, ok := call.Args[0].(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return
	}
	text, err := strconv.Unquote(lit.Value)
	if err != nil {
		return
	}
	switch {
	case method.Sel.Name == "Msg":
		messages[text] = true
	case slices.Contains(fieldMethods, method.Sel.Name) && len(call.Args) == 2:
		fields[text] = true
	}
}
