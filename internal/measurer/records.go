package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/examples"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/registrar"
	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/pkg/parser"
)

// exampleDocument returns a complete example document, of the size that teams write.
func exampleDocument() []byte {
	b, err := examples.Files.ReadFile("drafting-models.yaml")
	if err != nil {
		panic(err)
	}
	return b
}

func encodeDocument(text []byte) []byte {
	// Marshalling strings and times cannot fail.
	b, _ := json.Marshal(model.StoredDocument{Text: string(text), ChangedBy: "measure", ChangedAt: epoch})
	return b
}

// usageRecord returns a usage record whose id, tokens and cost vary as much as real ones.
func usageRecord(i int) model.Record {
	r := newRand(uint64(i))
	id := model.RequestID(fmt.Sprintf("01M8ZM%020X", r.Uint64()))
	input, output := r.IntN(4000), r.IntN(1000)
	return model.Record{Kind: model.RecordUsage, Key: recorder.UsageKey(id), Usage: &model.Usage{
		Organisation: "duluth-floor", Service: "drafting-models", Version: "pattern@3", Input: input, Output: output, Cost: model.Money(input*1000 + output*4000), CascadeSteps: 1,
	}}
}

// measureLedgerRecords measures the bytes and the CPU time of a usage record at the writer of its
// shard.
func measureLedgerRecords(s *Slopes) error {
	var bytes, cpu, sent []Point
	for _, n := range []int{100, 400, 1200} {
		platform := standin.NewPlatform()
		l := recorder.New(recorder.Config{Self: "n1", Store: platform, Layout: recorder.Layout{UsageShards: 1}, Flush: time.Millisecond, Window: time.Hour, Log: zerolog.Nop()})
		ctx, cancel := context.WithCancel(context.Background())
		go l.Run(ctx)
		records := make([]model.Record, n)
		for i := range records {
			records[i] = usageRecord(i)
		}
		line, err := json.Marshal(records)
		if err != nil {
			cancel()
			return fmt.Errorf("encode usage records: %w", err)
		}
		sent = append(sent, Point{float64(n), float64(len(line))})
		used := processorTime()
		if _, err := l.Append(ctx, 0, records); err != nil {
			cancel()
			return fmt.Errorf("append usage records: %w", err)
		}
		cpu = append(cpu, Point{float64(n), float64(processorTime() - used)})
		cancel()
		listing, err := platform.List(context.Background(), "ledger/")
		if err != nil {
			return fmt.Errorf("list ledger segments: %w", err)
		}
		total := 0
		for _, o := range listing.Objects {
			total += len(o.Value)
		}
		bytes = append(bytes, Point{float64(n), float64(total)})
	}
	s.add(fitLine("usage line bytes", "bytes", "usage line sent to its writer", sent))
	s.add(fitLine("ledger record bytes", "bytes", "usage line stored", bytes))
	s.add(fitLine("ledger record time", "ns", "usage line committed", cpu))
	return nil
}

// measureRecordMemory measures the memory that a writer needs for a usage record, a claim and a pin.
func measureRecordMemory(s *Slopes) error {
	kinds := []struct {
		name   string
		record func(i int) model.Record
	}{
		{"usage memory", usageRecord},
		{"claim memory", func(i int) model.Record {
			key := model.IdempotencyKey(fmt.Sprintf("reorder-2026-12-04-%06d", i))
			return model.Record{Kind: model.RecordClaim, Key: recorder.ClaimKey("workshop-orders", "duluth-floor", key), Request: model.RequestID(fmt.Sprintf("01M8ZME8RBVMMWHMRSM6%06d", i)), Claim: &model.Claim{Agent: "agent-duluth-a-12", Work: "10.0.0.12:7100", Boot: "01M8ZME8RBVMMWHMRSM6FVQNFE"}}
		}},
		{"pin memory", func(i int) model.Record {
			id := model.SessionID(fmt.Sprintf("banner-draft-%06d", i))
			return model.Record{Kind: model.RecordPin, Key: recorder.PinKey("drafting-models", "duluth-floor", id), Pin: &model.Pin{Version: "pattern@3"}}
		}},
	}
	for _, k := range kinds {
		var points []Point
		for _, n := range []int{5_000, 20_000, 60_000} {
			before := memoryInUse()
			replay := recorder.NewReplay(24 * time.Hour)
			for i := range n {
				r := k.record(i)
				replay.Apply(r, epoch)
				if r.Kind == model.RecordClaim {
					// Nearly all claims of a day have ended.
					r.Kind = model.RecordDone
					replay.Apply(r, epoch)
				}
			}
			if k.name == "claim memory" {
				// Expire drops the answers, which are kept for an hour; the keys stay for the whole window.
				replay.Expire(epoch.Add(2 * time.Hour))
			}
			points = append(points, Point{float64(n), memoryInUse() - before})
			runtime.KeepAlive(replay)
		}
		s.add(fitLine(k.name, "bytes", strings.Fields(k.name)[0]+" kept", points))
	}
	return nil
}

func newFleetRows(n int) []model.Instance {
	rows := make([]model.Instance, n)
	for i := range rows {
		role, service := model.RoleAgent, model.ServiceID("drafting-models")
		if i%3 == 0 {
			role, service = model.RoleEntry, ""
		}
		rows[i] = model.Instance{
			Instance: model.InstanceID(fmt.Sprintf("instance-duluth-a-%04d", i)), Role: role, Service: service,
			Work: "10.0.0.12:7100", Control: "10.0.0.12:7101", Place: model.Place{Region: model.RegionID(fmt.Sprint("region-", i%2)), Domain: model.DomainID(fmt.Sprint("duluth-", i%7))},
		}
	}
	return rows
}

// measureInstanceRows measures an instance's row in the instance list: its memory, its bytes on the
// wire, and the CPU time to apply a change of the list.
func measureInstanceRows(s *Slopes) error {
	var memory, wire, cpu []Point
	for _, n := range []int{300, 900, 1800} {
		rows := newFleetRows(n)
		before := memoryInUse()
		v := registrar.NewView(rows, epoch)
		memory = append(memory, Point{float64(n), memoryInUse() - before})
		b, err := json.Marshal(rows)
		if err != nil {
			return fmt.Errorf("encode rows: %w", err)
		}
		wire = append(wire, Point{float64(n), float64(len(b))})
		used := processorTime()
		const rounds = 20
		for i := range rounds {
			rows[0].Draining = i%2 == 0
			h := registrar.NewHistory()
			h.Add(v)
			h.Add(registrar.NewView(rows, epoch.Add(time.Duration(i+1)*time.Second)))
			h.Since(v.Digest(), v.ReadAt())
		}
		cpu = append(cpu, Point{float64(n), float64(processorTime()-used) / rounds})
	}
	s.add(fitLine("row memory", "bytes", "instance known", memory))
	s.add(fitLine("row bytes", "bytes", "instance in a whole list", wire))
	s.add(fitLine("list time", "ns", "instance, for each change of the list", cpu))
	return nil
}

// measureDocumentParsing measures the CPU time to parse a document, by its size.
func measureDocumentParsing(s *Slopes) error {
	var points []Point
	for _, orgs := range []int{10, 40, 120} {
		var b strings.Builder
		b.WriteString("service: s\nkind: model\nversions:\n  - {version: v@1, model: m, input: 1 USD/Mtok, output: 2 USD/Mtok, prior: 0.9}\norganisations:\n")
		for i := range orgs {
			fmt.Fprintf(&b, "  - organisation: o%d\n    keys: [sha256:%064d]\n    versions: [v@1]\n", i, i)
		}
		text := []byte(b.String())
		used := processorTime()
		const rounds = 30
		for range rounds {
			if _, err := parser.ParseDocument("d", text); err != nil {
				return err
			}
		}
		points = append(points, Point{float64(len(text)) / 1024, float64(processorTime()-used) / rounds})
	}
	s.add(fitLine("document time", "ns", "KiB of document parsed", points))
	return nil
}
