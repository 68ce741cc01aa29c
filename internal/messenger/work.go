package messenger

import (
	"errors"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bramleyhinge/bramleyhinge/internal/validator"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Paths of the HTTP/2 work calls.
const (
	PathWork   = "/work"
	PathResume = "/resume"
	PathCancel = "/cancel"
	PathAck    = "/ack"
)

// HeaderProof authenticates a work call and HeaderRequest names its request.
const (
	HeaderProof   = "Bramleyhinge-Proof"
	HeaderRequest = "Bramleyhinge-Request"
)

// Work is one request on its way to a backend server. UsageKey is the ledger key of its usage
// record. Budget is the time left until the caller's deadline; it is sent as a duration because
// clocks differ between instances.
type Work struct {
	Request      model.RequestID      `json:"request"`
	Boot         model.BootID         `json:"boot"`
	UsageKey     model.RecordKey      `json:"bill"`
	Organisation model.OrganisationID `json:"organisation"`
	Service      model.ServiceID      `json:"service"`
	Version      model.VersionID      `json:"version,omitempty"`
	Pinned       bool                 `json:"pinned,omitempty"`
	Revision     model.Revision       `json:"revision"`
	Class        model.ClassID        `json:"class"`
	Priority     model.Priority       `json:"priority"`
	Budget       time.Duration        `json:"budget"`
	Idempotent   bool                 `json:"idempotent"`
	Fingerprint  model.Fingerprint    `json:"fingerprint"`
	Suspect      bool                 `json:"suspect,omitempty"`
	NoWait       bool                 `json:"nowait,omitempty"`
	Method       string               `json:"method"`
	Path         string               `json:"path"`
	ContentType  string               `json:"type,omitempty"`
	Stream       bool                 `json:"stream,omitempty"`
	Body         []byte               `json:"body,omitempty"`
}

// ResumeRequest asks for the frames of a kept answer from frame From on.
type ResumeRequest struct {
	Boot    model.BootID    `json:"boot"`
	Request model.RequestID `json:"request"`
	From    int             `json:"from"`
}

// HandOverRetention is how long an agent remembers that it handed a request over, after it has dropped
// the request's answer. Its reply that a request did not run is reliable only for requests that are
// younger than this.
const HandOverRetention = 10 * time.Minute

// CancelRequest ends a request or prevents it from starting. Boot identifies the agent process to
// which the request was sent; it changes when the agent restarts.
type CancelRequest struct {
	Boot    model.BootID    `json:"boot"`
	Request model.RequestID `json:"request"`
}

// CancelReply says whether the agent handed the request to the backend server.
type CancelReply struct {
	Run model.Run `json:"run"`
}

// AckRequest releases kept answers: the caller has received them and their usage is recorded.
type AckRequest struct {
	Requests []model.RequestID `json:"requests"`
}

// FrameKind is the kind of a frame.
type FrameKind string

// Kinds of frame, in the order in which an answer has them.
const (
	FrameHead   FrameKind = "head"
	FramePart   FrameKind = "part"
	FrameEnd    FrameKind = "end"
	FrameRefuse FrameKind = "refuse"
)

// Frame is one numbered part of an answer. Load is the agent's load; it is set on a refusal that is
// due to the lack of a free slot.
type Frame struct {
	Request     model.RequestID `json:"request"`
	Seq         int             `json:"seq"`
	Kind        FrameKind       `json:"kind"`
	Status      int             `json:"status,omitempty"`
	ContentType string          `json:"type,omitempty"`
	Data        []byte          `json:"data,omitempty"`
	End         *End            `json:"end,omitempty"`
	Refusal     *model.Refusal  `json:"refusal,omitempty"`
	Load        *model.Load     `json:"load,omitempty"`
}

// End closes an answer. Frames is the number of frames before it, and Digest covers the data of all
// of them. Input and Output are token counts; Load is the agent's load.
type End struct {
	Frames int         `json:"frames"`
	Digest uint64      `json:"digest"`
	Input  int         `json:"input,omitempty"`
	Output int         `json:"output,omitempty"`
	Load   *model.Load `json:"load,omitempty"`
}

var errHeadPlace = errors.New("the head of the answer is not its first frame")

// checkHead returns an error if the first frame is neither a refusal nor a head with the status of a final answer, or if a
// later one is a head.
func checkHead(f Frame) error {
	switch {
	case f.Kind == FrameRefuse:
		return nil
	case (f.Kind == FrameHead) != (f.Seq == 0):
		return errHeadPlace
	case f.Kind == FrameHead:
		return validator.CheckStatus(f.Status)
	}
	return nil
}

// AnswerVerifier checks that the frames of an answer belong to its request, are in order and are
// complete.
type AnswerVerifier struct {
	request model.RequestID
	next    int
	digest  *xxhash.Digest
	done    bool
}

// NewAnswerVerifier returns a verifier for one request's answer.
func NewAnswerVerifier(id model.RequestID) *AnswerVerifier {
	return &AnswerVerifier{request: id, digest: xxhash.New()}
}

// NextSeq returns the number of the next expected frame.
func (a *AnswerVerifier) NextSeq() int { return a.next }

// Done reports whether the whole answer has arrived.
func (a *AnswerVerifier) Done() bool { return a.done }

// Accept verifies one frame. It returns false without an error for a duplicate, which the caller
// skips.
func (a *AnswerVerifier) Accept(f Frame) (bool, error) {
	if f.Request != a.request {
		return false, model.Refuse(model.KindBrokenAnswer, "answer of another request arrived: send the request again").WithRun(model.RunUnknown)
	}
	if f.Seq < a.next {
		return false, nil
	}
	if f.Seq > a.next || a.done {
		return false, model.Refuse(model.KindBrokenAnswer, "part %d of the answer is missing: send the request again", a.next).WithRun(model.RunUnknown)
	}
	if err := checkHead(f); err != nil {
		return false, model.Refuse(model.KindBrokenAnswer, "%v: send the request again", err).WithRun(model.RunUnknown)
	}
	a.next++
	if f.Kind != FrameEnd {
		a.digest.Write(f.Data)
		return true, nil
	}
	if f.End == nil || f.End.Frames != f.Seq || f.End.Digest != a.digest.Sum64() {
		return false, model.Refuse(model.KindBrokenAnswer, "answer does not match its digest: send the request again").WithRun(model.RunUnknown)
	}
	a.done = true
	return true, nil
}
