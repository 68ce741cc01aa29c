package signer

import (
	"context"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

var now = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func signToken(t testing.TB, s *Signer) string {
	t.Helper()
	text, err := s.Sign(Token{Organisation: "o", Service: "s", Version: "v@1", Session: "i", Expires: now.Add(time.Hour).Unix()})
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func newLoadedSigner(t testing.TB) (*Signer, *standin.Platform) {
	t.Helper()
	p := standin.NewPlatform()
	s := New(p)
	if err := s.Load(context.Background(), now); err != nil {
		t.Fatal(err)
	}
	return s, p
}

// TestVerify checks that a genuine token is accepted and that altered, expired and foreign ones are refused.
func TestVerify(t *testing.T) {
	s, _ := newLoadedSigner(t)
	token := signToken(t, s)
	cases := []struct {
		name, token, org, service string
		after                     time.Duration
		want                      string
	}{
		{"genuine", token, "o", "s", 0, "v@1"},
		{"expired", token, "o", "s", time.Hour, "the session has expired: start a new session"},
		{"other organisation", token, "x", "s", 0, "the session token is for another organisation or service: start a new session"},
		{"other service", token, "o", "x", 0, "the session token is for another organisation or service: start a new session"},
		{"changed payload", strings.Replace(token, ".eyJ", ".eyK", 1), "o", "s", 0, "the session token is not genuine: start a new session"},
		{"cut", token[:len(token)-2], "o", "s", 0, "the session token is not genuine: start a new session"},
		{"unknown key", "s1.other." + strings.SplitN(token, ".", 3)[2], "o", "s", 0, "the session token is not genuine: start a new session"},
		{"not a token", "banner-7", "o", "s", 0, ErrNotToken.Error()},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got, err := s.Verify(t.Context(), c.token, model.OrganisationID(c.org), model.ServiceID(c.service), now.Add(c.after))
			if diff := cmp.Diff(c.want, describeResult(got, err)); diff != "" {
				t.Errorf("result differs (-want +got):\n%s", diff)
			}
		})
	}
}

func describeResult(t Token, err error) string {
	var r *model.Refusal
	if errors.As(err, &r) {
		return r.Message
	}
	if err != nil {
		return err.Error()
	}
	return string(t.Version)
}

// TestRotate checks that a token stays valid for maxOldKeys rotations and no longer, and that an entry
// with an older keyring reloads it when it gets a token that a new key signed.
func TestRotate(t *testing.T) {
	s, p := newLoadedSigner(t)
	old := signToken(t, s)
	other := New(p)
	if err := other.Load(t.Context(), now); err != nil {
		t.Fatal(err)
	}
	var got []string
	for range maxOldKeys + 1 {
		if _, err := Rotate(t.Context(), p, now); err != nil {
			t.Fatal(err)
		}
		if err := s.Load(t.Context(), now); err != nil {
			t.Fatal(err)
		}
		_, errOld := s.Verify(t.Context(), old, "o", "s", now)
		got = append(got, map[bool]string{true: "valid", false: "ended"}[errOld == nil])
	}
	if diff := cmp.Diff([]string{"valid", "valid", "valid", "valid", "ended"}, got); diff != "" {
		t.Errorf("validity after each rotation differs (-want +got):\n%s", diff)
	}
	if _, err := other.Verify(t.Context(), signToken(t, s), "o", "s", now); err != nil {
		t.Errorf("an entry with an older keyring refused a new token: %v", err)
	}
}

func FuzzVerify(f *testing.F) {
	s, _ := newLoadedSigner(f)
	genuine := signToken(f, s)
	f.Add(genuine)
	f.Add("s1...")
	f.Add("s1.a.b.c")
	f.Fuzz(func(t *testing.T, text string) {
		_, err := s.Verify(context.Background(), text, "o", "s", now)
		if err == nil && text != genuine {
			t.Fatalf("accepted %q", text)
		}
	})
}
