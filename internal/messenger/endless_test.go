package messenger

import (
	"bytes"
	"encoding/binary"
	"io"
	"strings"
	"testing"
	"time"

	"context"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// TestEndlessMessageIsKept guards against a message of a peer in trouble that names a huge length and does not end.
func TestEndlessMessageIsKept(t *testing.T) {
	header := binary.AppendUvarint(nil, 1<<62)
	server := tester.ServeEndless(t, string(header)+`{"jsonrpc":"2.0","id":0,"result":{"nonce":"`, strings.Repeat("x", 256<<10))
	p := NewPool(ClientConfig{Instance: "n1", Role: model.RoleAgent})
	t.Cleanup(p.Close)
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if _, err := Call[bool](ctx, p, server.Address, "wait", time.Second); err == nil {
		t.Error("a message without end was read")
	}
	if n := server.Sent(); n > maxMessageBytes {
		t.Errorf("%d bytes were taken, want at most %d", n, maxMessageBytes)
	}
}

// endlessReader returns bytes without end.
type endlessReader struct{ read int }

func (r *endlessReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = 'x'
	}
	r.read += len(b)
	if r.read > 16*maxFrameBytes {
		return 0, io.ErrNoProgress
	}
	return len(b), nil
}

// TestEndlessFrameIsKept guards against a frame of an answer that does not end, and against a bound on whole answers in place of
// one on frames.
func TestEndlessFrameIsKept(t *testing.T) {
	whole := `{"kind":"part","data":"` + strings.Repeat("QUFB", 1<<18) + `"}`
	endless := &endlessReader{}
	r := NewFrameReader(io.NopCloser(io.MultiReader(strings.NewReader(strings.Repeat(whole, 8)), bytes.NewReader([]byte(`{"kind":"part","data":"`)), endless)))
	for i := range 8 {
		if f, err := r.Next(); err != nil || len(f.Data) != 3<<18 {
			t.Fatalf("frame %d has %d bytes: %v", i, len(f.Data), err)
		}
	}
	if _, err := r.Next(); err == nil {
		t.Error("a frame without end was read")
	}
	if endless.read > 2*maxFrameBytes {
		t.Errorf("%d bytes of a frame were read, want at most %d", endless.read, 2*maxFrameBytes)
	}
}
