package messenger

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

func startServer(t *testing.T, cfg ServerConfig) (string, *Server) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(cfg)
	Handle(s, MethodLookup, func(_ context.Context, p Peer, in LookupRequest) (model.Outcome, error) {
		switch in.Key {
		case "refuse":
			return model.Outcome{}, model.Refuse(model.KindOverload, "no").WithRetry(time.Second)
		case "store":
			return model.Outcome{}, &storer.Error{Kind: storer.KindUnknown}
		}
		return model.Outcome{Granted: true, Record: model.Record{Key: model.RecordKey(p.Instance)}}, nil
	})
	go s.Serve(context.Background(), l)
	t.Cleanup(func() { l.Close(); s.Close() })
	return l.Addr().String(), s
}

// TestControlCalls checks that both sides authenticate each other and that typed errors keep their
// type and fields over the wire.
func TestControlCalls(t *testing.T) {
	addr, _ := startServer(t, ServerConfig{Instance: "n1", Secret: "right", Connections: 4})
	cases := []struct {
		name, key string
		secret    Secret
		want      string
	}{
		{"granted", "x", "right", "granted to a1"},
		{"wrong secret", "x", "wrong", "error"},
		{"refusal keeps its kind", "refuse", "right", "refused overload 1s no"},
		{"store error keeps its kind", "store", "right", "store outcome_unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			p := NewPool(ClientConfig{Instance: "a1", Role: model.RoleAgent, Secret: c.secret})
			defer p.Close()
			out, err := Call[model.Outcome](t.Context(), p, addr, MethodLookup, LookupRequest{Key: model.RecordKey(c.key)})
			if diff := cmp.Diff(c.want, describe(out, err)); diff != "" {
				t.Errorf("outcome differs (-want +got):\n%s", diff)
			}
		})
	}
}

func TestConnectionsAreBounded(t *testing.T) {
	addr, _ := startServer(t, ServerConfig{Instance: "n1", Secret: "right", Connections: 1})
	first := NewPool(ClientConfig{Instance: "a1", Secret: "right"})
	defer first.Close()
	second := NewPool(ClientConfig{Instance: "a2", Secret: "right"})
	defer second.Close()
	_, errFirst := Call[model.Outcome](t.Context(), first, addr, MethodLookup, LookupRequest{})
	_, errSecond := Call[model.Outcome](t.Context(), second, addr, MethodLookup, LookupRequest{})
	if diff := cmp.Diff([]bool{true, false}, []bool{errFirst == nil, errSecond == nil}); diff != "" {
		t.Errorf("accepted connections differ (-want +got):\n%s", diff)
	}
}

func describe(o model.Outcome, err error) string {
	var r *model.Refusal
	var s *storer.Error
	switch {
	case errors.As(err, &r):
		return "refused " + string(r.Kind) + " " + r.Retry.String() + " " + string(r.Run)
	case errors.As(err, &s):
		return "store " + string(s.Kind)
	case err != nil:
		return "error"
	}
	return "granted to " + string(o.Record.Key)
}
