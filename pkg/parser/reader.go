package parser

import (
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	yamlparser "github.com/goccy/go-yaml/parser"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxFileSize keeps a stored document below the store's limit of 1 MB per value.
const maxFileSize = 512 << 10

// reader collects the faults of a file while its YAML nodes are read.
type reader struct {
	file   string
	faults Faults
}

// section is a YAML mapping; readKeys holds the keys that were looked up, so that the others can be
// reported as unknown.
type section struct {
	r        *reader
	path     string
	node     ast.Node
	fields   map[string]ast.Node
	pairs    []*ast.MappingValueNode
	readKeys map[string]bool
}

func (r *reader) addFault(node ast.Node, key, value, remedy string) {
	f := Fault{File: r.file, Line: 1, Column: 1, Key: key, Value: value, Remedy: remedy}
	if node != nil && node.GetToken() != nil && node.GetToken().Position != nil {
		f.Line = node.GetToken().Position.Line
		f.Column = node.GetToken().Position.Column
	}
	r.faults = append(r.faults, f)
}

// parseFile parses the file and returns its top-level mapping, or nil after it has recorded a fault.
func (r *reader) parseFile(data []byte) *section {
	if len(data) > maxFileSize {
		r.addFault(nil, "file", strconv.Itoa(len(data)), "keep the file under 512 KiB")
		return nil
	}
	file, err := yamlparser.ParseBytes(data, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		r.syntax(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.addFault(nil, "file", "", "write exactly one YAML document")
		return nil
	}
	return r.section("", file.Docs[0].Body)
}

func (r *reader) syntax(err error) {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		r.addFault(nil, "file", "", "correct the YAML syntax: "+err.Error())
		return
	}
	f := Fault{File: r.file, Line: 1, Column: 1, Key: "file", Remedy: "correct the YAML syntax: " + syntax.GetMessage()}
	if t := syntax.GetToken(); t != nil && t.Position != nil {
		f.Line, f.Column = t.Position.Line, t.Position.Column
	}
	r.faults = append(r.faults, f)
}

func (r *reader) section(path string, node ast.Node) *section {
	s := &section{r: r, path: path, node: node, fields: map[string]ast.Node{}, readKeys: map[string]bool{}}
	switch n := node.(type) {
	case *ast.MappingNode:
		s.pairs = n.Values
	case *ast.MappingValueNode:
		s.pairs = []*ast.MappingValueNode{n}
	default:
		r.addFault(node, displayPath(path), scalarValue(node), "write a mapping of keys to values")
		return nil
	}
	for _, value := range s.pairs {
		key := scalarValue(value.Key)
		if _, ok := s.fields[key]; ok {
			r.addFault(value.Key, s.keyPath(key), "", "remove the duplicate key")
			continue
		}
		s.fields[key] = value.Value
	}
	return s
}

func displayPath(path string) string {
	if path == "" {
		return "file"
	}
	return path
}

func (s *section) keyPath(key string) string {
	if s.path == "" {
		return key
	}
	return s.path + "." + key
}

// close records a fault for each key that was never looked up.
func (s *section) close(known ...string) {
	if s == nil {
		return
	}
	for _, value := range s.pairs {
		key := scalarValue(value.Key)
		if !s.readKeys[key] {
			s.r.addFault(value.Key, s.keyPath(key), "", "remove the unknown key; known here: "+strings.Join(known, ", "))
		}
	}
}

func (s *section) lookup(key string) (ast.Node, bool) {
	if s == nil {
		return nil, false
	}
	s.readKeys[key] = true
	n, ok := s.fields[key]
	if ok && n.Type() == ast.NullType {
		return nil, false
	}
	return n, ok
}

func (s *section) addKeyFault(key, remedy string) {
	if s != nil {
		s.r.addFault(s.node, s.keyPath(key), "", remedy)
	}
}

// subsection returns the mapping under a key, or nil if the key is absent.
func (s *section) subsection(key string) *section {
	n, ok := s.lookup(key)
	if !ok {
		return nil
	}
	return s.r.section(s.keyPath(key), n)
}

// sequence returns the nodes of the sequence under a key.
func (s *section) sequence(key string) []ast.Node {
	n, ok := s.lookup(key)
	if !ok {
		return nil
	}
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		s.r.addFault(n, s.keyPath(key), scalarValue(n), "write a sequence")
		return nil
	}
	return seq.Values
}

// subsections returns the mappings of the sequence under a key.
func (s *section) subsections(key string) []*section {
	var out []*section
	for i, n := range s.sequence(key) {
		if subsection := s.r.section(fmt.Sprintf("%s[%d]", s.keyPath(key), i), n); subsection != nil {
			out = append(out, subsection)
		}
	}
	return out
}

// required parses the scalar under a key that must be present.
func required[T any](s *section, key string, parse func(string) (T, error)) T {
	var zero T
	if _, ok := s.lookup(key); !ok {
		s.addKeyFault(key, "add this key")
		return zero
	}
	return optional(s, key, zero, parse)
}

// optional parses the scalar under a key; it returns the default if the key is absent or its value is invalid.
func optional[T any](s *section, key string, def T, parse func(string) (T, error)) T {
	n, ok := s.lookup(key)
	if !ok {
		return def
	}
	v, ok := s.scalarText(n, key)
	if !ok {
		return def
	}
	t, err := parse(v)
	if err != nil {
		s.r.addValueFault(n, s.keyPath(key), v, err)
		return def
	}
	return t
}

// parseList parses the sequence of scalars under a key and skips invalid ones.
func parseList[T any](s *section, key string, parse func(string) (T, error)) []T {
	var out []T
	for _, n := range s.sequence(key) {
		v, ok := s.scalarText(n, key)
		if !ok {
			continue
		}
		t, err := parse(v)
		if err != nil {
			s.r.addValueFault(n, s.keyPath(key), v, err)
			continue
		}
		out = append(out, t)
	}
	return out
}

func (s *section) scalarText(n ast.Node, key string) (string, bool) {
	if _, ok := n.(ast.ScalarNode); !ok {
		s.r.addFault(n, s.keyPath(key), "", "write a single value")
		return "", false
	}
	return scalarValue(n), true
}

func scalarValue(n ast.Node) string {
	if _, ok := n.(ast.ScalarNode); !ok || n.GetToken() == nil {
		return ""
	}
	return n.GetToken().Value
}

// addValueFault records a parse error. The fault shows the value of a model.ParseError instead of the raw one;
// it is empty where the raw value may be a secret.
func (r *reader) addValueFault(node ast.Node, key, value string, err error) {
	var pe *model.ParseError
	if errors.As(err, &pe) {
		r.addFault(node, key, pe.Value, pe.Remedy)
		return
	}
	r.addFault(node, key, value, err.Error())
}

func valueError(value, format string, args ...any) error {
	return &model.ParseError{Value: value, Remedy: fmt.Sprintf(format, args...)}
}

const maxNameLength = 64

// parseName parses an identifier of letters, digits, '.', '_', '@' and '-'.
func parseName[T ~string](s string) (T, error) {
	if s == "" || len(s) > maxNameLength {
		return "", valueError(s, "write a name of 1 to %d characters", maxNameLength)
	}
	for _, c := range s {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._@-", c) {
			return "", valueError(s, "use only letters, digits, '.', '_', '@' and '-'")
		}
	}
	return T(s), nil
}

// oneOf returns a parser that accepts only the given words.
func oneOf[T ~string](words ...T) func(string) (T, error) {
	return func(s string) (T, error) {
		known := make([]string, len(words))
		for i, w := range words {
			if T(s) == w {
				return w, nil
			}
			known[i] = string(w)
		}
		return "", valueError(s, "write one of: %s", strings.Join(known, ", "))
	}
}

func parseBool(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, valueError(s, "write true or false")
}

// numberBetween returns a parser of numbers between low and high, inclusive.
func numberBetween[T ~float64](low, high float64) func(string) (T, error) {
	return func(s string) (T, error) {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || !(f >= low && f <= high) {
			return 0, valueError(s, "write a number between %g and %g", low, high)
		}
		return T(f), nil
	}
}

// integerBetween returns a parser of whole numbers between low and high, inclusive.
func integerBetween(low, high int) func(string) (int, error) {
	return func(s string) (int, error) {
		n, err := strconv.Atoi(s)
		if err != nil || n < low || n > high {
			return 0, valueError(s, "write a whole number between %d and %d", low, high)
		}
		return n, nil
	}
}
