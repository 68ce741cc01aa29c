package soaker

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	// parsedDepth is a nesting of arrays that parsers of JSON still follow, refusedDepth one at which many give up.
	parsedDepth, refusedDepth = 9_000, 20_000
	// goodFields are the fields of a sound entry of a backend server that does not exist.
	goodFields = `"service":"desk","address":"127.0.0.1:9","zone":"a-1","version":"v1","slots":8,"state":"ready","cold-remaining-ms":0,"born":1`
)

// oddSpecs are the entries that another writer leaves in the store's list of backend servers.
var oddSpecs = []string{
	nested(parsedDepth),
	nested(refusedDepth),
	oddField(`"slots":8`, `"slots":99999999999999999999999999999999`),
	oddField(`"slots":8`, `"slots":9223372036854775807`),
	oddField(`"slots":8`, `"slots":-1`),
	oddField(`"slots":8`, `"slots":"8"`),
	oddField(`"born":1`, `"born":1e400`),
	oddField(`"cold-remaining-ms":0`, `"cold-remaining-ms":1e400`),
	oddField(`"cold-remaining-ms":0`, `"cold-remaining-ms":1e300`),
	oddField(`127.0.0.1:9`, `127.0.0.1:99999`),
	oddField(`127.0.0.1:9`, `127.0.0.1:0`),
	oddField(`"127.0.0.1:9"`, `127001`),
	oddField(`"ready"`, `"melting"`),
	oddField(`"desk"`, `"nobody"`),
	oddField(`"desk"`, `{"name":["desk"]}`),
	oddField(`"zone":"a-1",`, ``),
	`{}`, `null`, `[]`, `"desk"`, `17`,
	oddField(`a-1`, "\xff\xfe"),
	oddField(`"cold-remaining-ms":0`, `"cold-remaining-ms":NaN`),
}

func oddField(old, odd string) string { return "{" + strings.Replace(goodFields, old, odd, 1) + "}" }

func nested(depth int) string {
	return "{" + goodFields + `,"more":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + "}"
}

// leaveOddEntry writes an odd entry beside those of the backend servers and returns its name. Each second one stays to the
// end of the run.
func (s *soak) leaveOddEntry(ctx context.Context, inj Injection) string {
	shape := inj.Pick / 2 % len(oddSpecs)
	name := fmt.Sprintf("odd-%d-shape-%d", inj.Pick, shape)
	s.store.SetRaw("servers/"+name, []byte(oddSpecs[shape]))
	sleep(ctx, inj.Length)
	if inj.Pick%2 == 0 {
		s.store.Remove("servers/" + name)
	}
	return name
}

// breakStreams has all backend servers with models break streams off and answer requests that resume them with errors, each
// second time with the text of an error under their seals.
func (s *soak) breakStreams(ctx context.Context, inj Injection) {
	from := time.Now()
	f := standin.ServerFaults{TruncateRate: faultRate, ResumeErrors: inj.Pick%2 == 0, SealedErrors: inj.Pick%2 == 1}
	var ids []string
	for _, srv := range s.servers {
		if srv.service == "models" {
			ids = append(ids, srv.id())
			defer srv.addFaults(f)()
		}
	}
	sleep(ctx, inj.Length)
	s.updateHistory(func(h *history) {
		for _, id := range ids {
			h.Spans = append(h.Spans, faultSpan{serverLose, id, from, time.Now()})
		}
	})
}
