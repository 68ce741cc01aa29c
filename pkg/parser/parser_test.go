package parser

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"github.com/rogpeppe/go-internal/txtar"

	"github.com/bramleyhinge/bramleyhinge/examples"
)

var update = flag.Bool("update", false, "rewrite the expected messages")

// TestBadFiles parses each file of the archives and compares the error messages with the expected ones.
func TestBadFiles(t *testing.T) {
	t.Setenv("SHORT_SECRET", "short")
	t.Setenv("GOOD_SECRET", "a-secret-for-the-tests")
	for _, name := range []string{"documents.txtar", "settings.txtar"} {
		path := filepath.Join("testdata", name)
		a, err := txtar.ParseFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for i := 0; i+1 < len(a.Files); i += 2 {
			in, want := a.Files[i], &a.Files[i+1]
			t.Run(in.Name, func(t *testing.T) {
				got := parseError(name, in.Name, in.Data)
				if *update {
					want.Data = []byte(got)
				}
				if diff := cmp.Diff(string(want.Data), got); diff != "" {
					t.Errorf("messages differ (-want +got):\n%s", diff)
				}
			})
		}
		if *update {
			if err := os.WriteFile(path, txtar.Format(a), 0o600); err != nil {
				t.Fatal(err)
			}
		}
	}
}

func parseError(archive, name string, data []byte) string {
	var err error
	if strings.HasPrefix(archive, "documents") {
		_, err = ParseDocument(name, data)
	} else {
		_, err = ParseSettings(name, data)
	}
	if err == nil {
		return "good\n"
	}
	return err.Error() + "\n"
}

func TestExamplesAreGood(t *testing.T) {
	files, err := examples.Files.ReadDir(".")
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range files {
		b, err := examples.Files.ReadFile(f.Name())
		if err != nil {
			t.Fatal(err)
		}
		d, err := ParseDocument(f.Name(), b)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(strings.TrimSuffix(f.Name(), ".yaml"), string(d.Service)); diff != "" {
			t.Errorf("service differs from its file name:\n%s", diff)
		}
	}
}

func FuzzParseDocument(f *testing.F) {
	a, err := txtar.ParseFile("testdata/documents.txtar")
	if err != nil {
		f.Fatal(err)
	}
	for _, file := range a.Files {
		f.Add(file.Data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := ParseDocument("fuzz", data)
		if (d == nil) == (err == nil) {
			t.Fatalf("document %v and error %v", d, err)
		}
		if err != nil && err.Error() == "" {
			t.Fatal("the error message is empty")
		}
	})
}
