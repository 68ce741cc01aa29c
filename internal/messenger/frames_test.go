package messenger

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

func answerFrames(id model.RequestID, parts int) []Frame {
	digest := xxhash.New()
	frames := []Frame{{Request: id, Seq: 0, Kind: FrameHead, Status: 200}}
	for i := range parts {
		data := fmt.Appendf(nil, "%s part %d", id, i)
		digest.Write(data)
		frames = append(frames, Frame{Request: id, Seq: i + 1, Kind: FramePart, Data: data})
	}
	return append(frames, Frame{Request: id, Seq: parts + 1, Kind: FrameEnd, End: &End{Frames: parts + 1, Digest: digest.Sum64()}})
}

// TestAnswerVerifierAcceptsOnlySentAnswer delivers frames duplicated, dropped, reordered, mixed
// with another answer's and altered. An answer that the verifier accepts as whole must equal the
// one sent.
func TestAnswerVerifierAcceptsOnlySentAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		own := answerFrames("own", rapid.IntRange(0, 6).Draw(t, "parts"))
		other := answerFrames("other", 3)
		var got []byte
		a := NewAnswerVerifier("own")
		for range rapid.IntRange(0, 30).Draw(t, "frames") {
			f := own[rapid.IntRange(0, len(own)-1).Draw(t, "frame")]
			switch rapid.IntRange(0, 9).Draw(t, "fault") {
			case 0:
				f = rapid.SampledFrom(other).Draw(t, "other")
			case 1:
				f.Data = append([]byte("x"), f.Data...)
			case 2, 3, 4, 5:
				f = own[min(a.NextSeq(), len(own)-1)]
			}
			accepted, err := a.Accept(f)
			if err != nil {
				return
			}
			if accepted {
				got = append(got, f.Data...)
			}
		}
		var want []byte
		for _, f := range own {
			want = append(want, f.Data...)
		}
		if a.Done() && !bytes.Equal(want, got) {
			t.Fatalf("accepted %q for %q", got, want)
		}
	})
}

// TestAnswerVerifierRefusesUnsoundHead guards against an answer of an agent without a head, or whose head has no status that may
// be passed on.
func TestAnswerVerifierRefusesUnsoundHead(t *testing.T) {
	type Result struct {
		Accepted int
		Whole    bool
	}
	type framesCase struct {
		Name   string
		Frames []string
		Result `yaml:",inline"`
	}
	for _, c := range tester.Load[framesCase](t, "frames.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			digest := xxhash.New()
			a := NewAnswerVerifier("own")
			var got Result
			for i, text := range c.Frames {
				kind, status, _ := strings.Cut(text, " ")
				f := Frame{Request: "own", Seq: i, Kind: FrameKind(kind)}
				switch f.Kind {
				case FrameHead:
					var err error
					if f.Status, err = strconv.Atoi(status); err != nil {
						t.Fatal(err)
					}
				case FramePart:
					f.Data = []byte("part")
					digest.Write(f.Data)
				case FrameEnd:
					f.End = &End{Frames: i, Digest: digest.Sum64()}
				}
				accepted, err := a.Accept(f)
				if err != nil {
					break
				}
				if accepted {
					got.Accepted++
				}
			}
			got.Whole = a.Done()
			if diff := cmp.Diff(c.Result, got); diff != "" {
				t.Errorf("frames (-want +got):\n%s", diff)
			}
		})
	}
}

func FuzzFrames(f *testing.F) {
	b, err := json.Marshal(answerFrames("own", 2)[0])
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b)
	f.Add([]byte(`{"request":"own","seq":0,"kind":"end","end":{}}`))
	f.Fuzz(func(_ *testing.T, data []byte) {
		r := NewFrameReader(io.NopCloser(bytes.NewReader(data)))
		a := NewAnswerVerifier("own")
		for {
			frame, err := r.Next()
			if err != nil {
				return
			}
			if _, err := a.Accept(frame); err != nil {
				return
			}
		}
	})
}
