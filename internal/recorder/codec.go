package recorder

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"sync"
)

// gzipWriters pools the compressors, since each holds most of a megabyte.
var gzipWriters = sync.Pool{New: func() any { return gzip.NewWriter(nil) }}

// encode returns v as gzipped JSON; records compress well because they repeat names and keys.
func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	w := gzipWriters.Get().(*gzip.Writer)
	defer gzipWriters.Put(w)
	w.Reset(&buf)
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return nil, fmt.Errorf("encode ledger value: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress ledger value: %w", err)
	}
	return buf.Bytes(), nil
}

// decode is the reverse of encode.
func decode(data []byte, v any) error {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("uncompress ledger value: %w", err)
	}
	if err := json.NewDecoder(r).Decode(v); err != nil {
		return fmt.Errorf("decode ledger value: %w", err)
	}
	return nil
}
