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

// maxFileSize bounds a document below the platform's value limit of a megabyte.
const maxFileSize = 512 << 10

// reader collects the faults of one file while its nodes are read.
type reader struct {
	file   string
	faults Faults
}

// section is a mapping whose keys are read once each.
type section struct {
	r      *reader
	path   string
	node   ast.Node
	fields map[string]ast.Node
	order  []*ast.MappingValueNode
	read   map[string]bool
}

func (r *reader) fault(node ast.Node, key, value, remedy string) {
	f := Fault{File: r.file, Line: 1, Column: 1, Key: key, Value: value, Remedy: remedy}
	if node != nil && node.GetToken() != nil && node.GetToken().Position != nil {
		f.Line = node.GetToken().Position.Line
		f.Column = node.GetToken().Position.Column
	}
	r.faults = append(r.faults, f)
}

// open parses the file and returns its top mapping, or nil after recording the fault.
func (r *reader) open(data []byte) *section {
	if len(data) > maxFileSize {
		r.fault(nil, "file", strconv.Itoa(len(data)), "keep the file under 512 KiB")
		return nil
	}
	file, err := yamlparser.ParseBytes(data, 0, yamlparser.AllowDuplicateMapKey())
	if err != nil {
		r.syntax(err)
		return nil
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.fault(nil, "file", "", "write exactly one YAML document")
		return nil
	}
	return r.section("", file.Docs[0].Body)
}

func (r *reader) syntax(err error) {
	var syntax yaml.Error
	if !errors.As(err, &syntax) {
		r.fault(nil, "file", "", "mend the YAML syntax: "+err.Error())
		return
	}
	f := Fault{File: r.file, Line: 1, Column: 1, Key: "file", Remedy: "mend the YAML syntax: " + syntax.GetMessage()}
	if t := syntax.GetToken(); t != nil && t.Position != nil {
		f.Line, f.Column = t.Position.Line, t.Position.Column
	}
	r.faults = append(r.faults, f)
}

func (r *reader) section(path string, node ast.Node) *section {
	s := &section{r: r, path: path, node: node, fields: map[string]ast.Node{}, read: map[string]bool{}}
	switch n := node.(type) {
	case *ast.MappingNode:
		s.order = n.Values
	case *ast.MappingValueNode:
		s.order = []*ast.MappingValueNode{n}
	default:
		r.fault(node, nameOf(path), scalar(node), "write a mapping of keys to values")
		return nil
	}
	for _, value := range s.order {
		key := scalar(value.Key)
		if _, ok := s.fields[key]; ok {
			r.fault(value.Key, s.join(key), "", "remove the duplicate key")
			continue
		}
		s.fields[key] = value.Value
	}
	return s
}

func nameOf(path string) string {
	if path == "" {
		return "file"
	}
	return path
}

func (s *section) join(key string) string {
	if s.path == "" {
		return key
	}
	return s.path + "." + key
}

// close records a fault for each key that nothing has read.
func (s *section) close(known ...string) {
	if s == nil {
		return
	}
	for _, value := range s.order {
		key := scalar(value.Key)
		if !s.read[key] {
			s.r.fault(value.Key, s.join(key), "", "remove the unknown key; known here: "+strings.Join(known, ", "))
		}
	}
}

func (s *section) lookup(key string) (ast.Node, bool) {
	if s == nil {
		return nil, false
	}
	s.read[key] = true
	n, ok := s.fields[key]
	if ok && n.Type() == ast.NullType {
		return nil, false
	}
	return n, ok
}

func (s *section) missing(key, remedy string) {
	if s != nil {
		s.r.fault(s.node, s.join(key), "", remedy)
	}
}

// sub returns the mapping under a key, or nil if the key is absent.
func (s *section) sub(key string) *section {
	n, ok := s.lookup(key)
	if !ok {
		return nil
	}
	return s.r.section(s.join(key), n)
}

// items returns the nodes of the sequence under a key.
func (s *section) items(key string) []ast.Node {
	n, ok := s.lookup(key)
	if !ok {
		return nil
	}
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		s.r.fault(n, s.join(key), scalar(n), "write a sequence")
		return nil
	}
	return seq.Values
}

// sections returns the mappings of the sequence under a key.
func (s *section) sections(key string) []*section {
	var out []*section
	for i, n := range s.items(key) {
		if sub := s.r.section(fmt.Sprintf("%s[%d]", s.join(key), i), n); sub != nil {
			out = append(out, sub)
		}
	}
	return out
}

// required reads a scalar that must be present.
func required[T any](s *section, key string, parse func(string) (T, error)) T {
	var zero T
	if _, ok := s.lookup(key); !ok {
		s.missing(key, "add this key")
		return zero
	}
	return optional(s, key, zero, parse)
}

// optional reads a scalar or returns the default.
func optional[T any](s *section, key string, def T, parse func(string) (T, error)) T {
	n, ok := s.lookup(key)
	if !ok {
		return def
	}
	v, ok := s.text(n, key)
	if !ok {
		return def
	}
	t, err := parse(v)
	if err != nil {
		s.r.reject(n, s.join(key), v, err)
		return def
	}
	return t
}

// list reads a sequence of scalars.
func list[T any](s *section, key string, parse func(string) (T, error)) []T {
	var out []T
	for _, n := range s.items(key) {
		v, ok := s.text(n, key)
		if !ok {
			continue
		}
		t, err := parse(v)
		if err != nil {
			s.r.reject(n, s.join(key), v, err)
			continue
		}
		out = append(out, t)
	}
	return out
}

func (s *section) text(n ast.Node, key string) (string, bool) {
	if _, ok := n.(ast.ScalarNode); !ok {
		s.r.fault(n, s.join(key), "", "write a single value")
		return "", false
	}
	return scalar(n), true
}

func scalar(n ast.Node) string {
	if _, ok := n.(ast.ScalarNode); !ok || n.GetToken() == nil {
		return ""
	}
	return n.GetToken().Value
}

// reject records a parse error; the error decides whether its value may be shown.
func (r *reader) reject(node ast.Node, key, value string, err error) {
	var pe *model.ParseError
	if errors.As(err, &pe) {
		r.fault(node, key, pe.Value, pe.Remedy)
		return
	}
	r.fault(node, key, value, err.Error())
}

// Scalar checks used by documents and settings.

func remedy(value, format string, args ...any) error {
	return &model.ParseError{Value: value, Remedy: fmt.Sprintf(format, args...)}
}

const maxNameLength = 64

// name parses an identifier of letters, digits, '.', '_', '@' and '-'.
func name[T ~string](s string) (T, error) {
	if s == "" || len(s) > maxNameLength {
		return "", remedy(s, "write a name of 1 to %d characters", maxNameLength)
	}
	for _, c := range s {
		if !strings.ContainsRune("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._@-", c) {
			return "", remedy(s, "use only letters, digits, '.', '_', '@' and '-'")
		}
	}
	return T(s), nil
}

// oneOf parses one of a fixed set of words.
func oneOf[T ~string](words ...T) func(string) (T, error) {
	return func(s string) (T, error) {
		known := make([]string, len(words))
		for i, w := range words {
			if T(s) == w {
				return w, nil
			}
			known[i] = string(w)
		}
		return "", remedy(s, "write one of: %s", strings.Join(known, ", "))
	}
}

func boolean(s string) (bool, error) {
	switch s {
	case "true":
		return true, nil
	case "false":
		return false, nil
	}
	return false, remedy(s, "write true or false")
}

// within parses a number inside a closed range.
func within[T ~float64](low, high float64) func(string) (T, error) {
	return func(s string) (T, error) {
		f, err := strconv.ParseFloat(s, 64)
		if err != nil || !(f >= low && f <= high) {
			return 0, remedy(s, "write a number between %g and %g", low, high)
		}
		return T(f), nil
	}
}

// whole parses a whole number inside a closed range.
func whole(low, high int) func(string) (int, error) {
	return func(s string) (int, error) {
		n, err := strconv.Atoi(s)
		if err != nil || n < low || n > high {
			return 0, remedy(s, "write a whole number between %d and %d", low, high)
		}
		return n, nil
	}
}
