package forwarder

import (
	"errors"
	"fmt"
	"net/http"
	"runtime/debug"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// maxStackBytes bounds the stack in the log line of a panic.
const maxStackBytes = 4 << 10

var errPanicked = errors.New("handling the answer panicked")

// answerPanic answers a request whose handling panicked. If its caller has a part of another answer the connection is
// closed, so that the answer does not look whole. It is called by defer.
func (f *Forwarder) answerPanic(w http.ResponseWriter, c *call) {
	v := recover()
	if v == nil {
		return
	}
	if err, ok := v.(error); ok && errors.Is(err, http.ErrAbortHandler) {
		panic(v)
	}
	stack := debug.Stack()
	f.cfg.Meter.Count("panics", 1)
	f.cfg.Log.Error().Str("request", c.id).Str("cause", fmt.Sprint(v)).Int("sent", c.sent).Bool("begun", c.answered).
		Bytes("stack", stack[:min(len(stack), maxStackBytes)]).Msg("forwarder: handling the request panicked")
	if c.answered {
		panic(http.ErrAbortHandler)
	}
	run := model.RunNo
	if c.sent > 0 || c.mayHaveRun {
		run = model.RunUnknown
	}
	f.refuse(w, c, model.Refuse(model.KindInternal, "the entry failed to handle the request: report its id").WithRun(run))
}
