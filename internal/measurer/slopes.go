package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/examples"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/recorder"
	"github.com/bramleyhinge/bramleyhinge/internal/registrar"
	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/pkg/parser"
)

// Point is a measured quantity at one size.
type Point struct{ Size, Value float64 }

// Slope is a quantity measured at several sizes, with its least-squares line. Slope and
// Base are in the unit per one more of the size, and at size zero.
type Slope struct {
	Name   string
	Unit   string
	Per    string
	Points []Point
	Slope  float64
	Base   float64
}

// fit returns the least-squares line through the points.
func fit(name, unit, per string, points []Point) Slope {
	var sx, sy, sxx, sxy float64
	n := float64(len(points))
	for _, p := range points {
		sx += p.Size
		sy += p.Value
		sxx += p.Size * p.Size
		sxy += p.Size * p.Value
	}
	s := Slope{Name: name, Unit: unit, Per: per, Points: points}
	s.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	s.Base = (sy - s.Slope*sx) / n
	return s
}

// Slopes holds all measured slopes by name.
type Slopes struct {
	List []Slope
	all  map[string]Slope
}

// Get returns a slope's value per one more.
func (s *Slopes) Get(name string) float64 { return s.all[name].Slope }

// At returns a slope's line at a size.
func (s *Slopes) At(name string, size float64) float64 {
	return s.all[name].Base + size*s.all[name].Slope
}

func (s *Slopes) add(sl Slope) {
	if s.all == nil {
		s.all = map[string]Slope{}
	}
	s.all[sl.Name] = sl
	s.List = append(s.List, sl)
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes in use after a collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// countingListener counts the bytes of all its connections, both ways.
type countingListener struct {
	net.Listener
	bytes *atomic.Int64
}

// Accept implements net.Listener.
func (l countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return countingConn{c, l.bytes}, err
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// controlBench is a control server with a number of connected clients.
type controlBench struct {
	server  *messenger.Server
	addr    string
	bytes   atomic.Int64
	pools   []*messenger.Pool
	closing func()
}

const benchSecret = "a-secret-for-measuring"

func newControlBench(register func(s *messenger.Server)) (*controlBench, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	b := &controlBench{server: messenger.NewServer(messenger.ServerConfig{Instance: "n1", Secret: benchSecret, Connections: 4096}), addr: l.Addr().String()}
	register(b.server)
	go b.server.Serve(context.Background(), countingListener{l, &b.bytes})
	b.closing = func() { l.Close(); b.server.Close() }
	return b, nil
}

func (b *controlBench) connect(n int) error {
	for i := range n {
		p := messenger.NewPool(messenger.ClientConfig{Instance: model.InstanceID(fmt.Sprint("c", i)), Role: model.RoleAgent, Secret: benchSecret, Dial: 10 * time.Second})
		b.pools = append(b.pools, p)
		if _, err := messenger.Call[messenger.Empty](context.Background(), p, b.addr, "touch", messenger.Empty{}); err != nil {
			return fmt.Errorf("connect: %w", err)
		}
	}
	return nil
}

func (b *controlBench) close() {
	for _, p := range b.pools {
		p.Close()
	}
	b.closing()
}

// each calls fn for all clients at once and waits.
func (b *controlBench) each(fn func(p *messenger.Pool)) {
	var wg sync.WaitGroup
	for _, p := range b.pools {
		wg.Go(func() { fn(p) })
	}
	wg.Wait()
}

func touch(s *messenger.Server) {
	messenger.Handle(s, "touch", func(context.Context, messenger.Peer, messenger.Empty) (messenger.Empty, error) {
		return messenger.Empty{}, nil
	})
}

// exampleDocument is a worked document, of the size that teams write.
func exampleDocument() []byte {
	b, err := examples.Files.ReadFile("drafting-models.yaml")
	if err != nil {
		panic(err)
	}
	return b
}

func envelope(text []byte) []byte {
	// Encoding strings and times cannot fail.
	b, _ := json.Marshal(model.Envelope{Text: string(text), By: "measure", At: epoch})
	return b
}

var slopeSizes = []int{16, 64, 256}

// MeasureSlopes measures all slopes on this machine; it takes about a minute.
func MeasureSlopes() (*Slopes, error) {
	s := &Slopes{}
	for _, measure := range []func(*Slopes) error{changes, beats, loads, ownerReports, connections, ledgerRecords, kept, views, documents, dataPath} {
		if err := measure(s); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func newRelay() (*watcher.Watcher, *controlBench, error) {
	w := watcher.New(watcher.Config{Self: model.Instance{Instance: "n1", Role: model.RoleEntry}, Lease: 3 * time.Second, Log: zerolog.Nop()})
	b, err := newControlBench(func(s *messenger.Server) { touch(s); w.Register(s) })
	return w, b, err
}

// changes measures what one change of a document costs a relay for each listener.
func changes(s *Slopes) error {
	var bytes, cpu []Point
	value := envelope(exampleDocument())
	const rounds = 20
	for _, n := range slopeSizes {
		w, b, err := newRelay()
		if err != nil {
			return err
		}
		if err := b.connect(n); err != nil {
			return err
		}
		before, used := b.bytes.Load(), processorTime()
		for i := range rounds {
			rev := model.Revision(i + 1)
			w.Feed().Apply([]storer.Object{{Key: watcher.DocumentKey("drafting-models"), Revision: rev, Value: value}}, rev, epoch)
			b.each(func(p *messenger.Pool) {
				in := messenger.PollRequest{From: rev - 1, Service: "drafting-models"}
				if _, err := messenger.Call[messenger.PollReply](context.Background(), p, b.addr, messenger.MethodPoll, in); err != nil {
					panic(err)
				}
			})
		}
		bytes = append(bytes, Point{float64(n), float64(b.bytes.Load()-before) / rounds})
		cpu = append(cpu, Point{float64(n), float64(processorTime()-used) / rounds})
		b.close()
	}
	s.add(fit("change bytes", "bytes", "listener", bytes))
	s.add(fit("change time", "ns", "listener, both ends", cpu))
	return nil
}

// beats measures an empty poll, which carries the lease.
func beats(s *Slopes) error {
	w, b, err := newRelay()
	if err != nil {
		return err
	}
	defer b.close()
	w.Feed().Apply(nil, 1, epoch)
	if err := b.connect(32); err != nil {
		return err
	}
	return calls(s, b, "beat", func(p *messenger.Pool) error {
		_, err := messenger.Call[messenger.PollReply](context.Background(), p, b.addr, messenger.MethodPoll, messenger.PollRequest{From: 123456, Digest: 1 << 60, Listed: epoch})
		return err
	})
}

// loads measures one load report.
func loads(s *Slopes) error {
	load := model.Load{Instance: "agent-duluth-a-12", Boot: "01M8ZME8RBVMMWHMRSM6FVQNFE", Versions: []model.VersionID{"sketch@1", "pattern@3"}, Running: 12, Limit: 64, Seq: 1, Revision: 123456}
	b, err := newControlBench(func(srv *messenger.Server) {
		touch(srv)
		messenger.Handle(srv, messenger.MethodLoad, func(context.Context, messenger.Peer, messenger.LoadRequest) (model.Load, error) { return load, nil })
	})
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.connect(32); err != nil {
		return err
	}
	return calls(s, b, "load report", func(p *messenger.Pool) error {
		_, err := messenger.Call[model.Load](context.Background(), p, b.addr, messenger.MethodLoad, messenger.LoadRequest{Seq: 1, Wait: 5 * time.Second})
		return err
	})
}

// ownerReports measures an entry's report to a service owner, by organisations.
func ownerReports(s *Slopes) error {
	var bytes, cpu []Point
	for _, orgs := range []int{5, 20, 60} {
		in := messenger.ReportRequest{Service: "drafting-models", Entry: "entry-duluth-a-12", Interval: time.Minute, Demand: map[model.OrganisationID]model.Rate{}, Running: map[model.OrganisationID]int{}}
		reply := messenger.ReportReply{Valid: 2 * time.Minute, Grants: map[model.OrganisationID]model.Grant{}}
		for i := range orgs {
			org := model.OrganisationID(fmt.Sprint("organisation-", i))
			in.Demand[org], in.Running[org], reply.Grants[org] = 12.375, 7, model.Grant{Rate: 31.25, Concurrency: 12}
		}
		for i := range 5 {
			in.Tallies = append(in.Tallies, model.Tally{Version: model.VersionID(fmt.Sprint("pattern@", i)), Requests: 120, Rated: 60, Quality: 53.125, Quality2: 47.0625, Timed: 118, LogFirst: -212.5, LogFirst2: 391.0625})
		}
		b, err := newControlBench(func(srv *messenger.Server) {
			touch(srv)
			messenger.Handle(srv, messenger.MethodReport, func(context.Context, messenger.Peer, messenger.ReportRequest) (messenger.ReportReply, error) {
				return reply, nil
			})
		})
		if err != nil {
			return err
		}
		if err := b.connect(8); err != nil {
			return err
		}
		const rounds = 40
		before, used := b.bytes.Load(), processorTime()
		b.each(func(p *messenger.Pool) {
			for range rounds {
				if _, err := messenger.Call[messenger.ReportReply](context.Background(), p, b.addr, messenger.MethodReport, in); err != nil {
					panic(err)
				}
			}
		})
		n := float64(rounds * len(b.pools))
		bytes = append(bytes, Point{float64(orgs), float64(b.bytes.Load()-before) / n})
		cpu = append(cpu, Point{float64(orgs), float64(processorTime()-used) / n})
		b.close()
	}
	s.add(fit("report bytes", "bytes", "organisation, in one report with its grants", bytes))
	s.add(fit("report time", "ns", "organisation, in one report, both ends", cpu))
	return nil
}

// calls measures bytes and processor time of one call, at three numbers of calls.
func calls(s *Slopes, b *controlBench, name string, call func(p *messenger.Pool) error) error {
	var bytes, cpu []Point
	for _, rounds := range []int{20, 80, 240} {
		before, used := b.bytes.Load(), processorTime()
		var failed error
		b.each(func(p *messenger.Pool) {
			for range rounds {
				if err := call(p); err != nil {
					failed = err
				}
			}
		})
		if failed != nil {
			return failed
		}
		n := float64(rounds * len(b.pools))
		bytes = append(bytes, Point{n, float64(b.bytes.Load() - before)})
		cpu = append(cpu, Point{n, float64(processorTime() - used)})
	}
	s.add(fit(name+" bytes", "bytes", "call", bytes))
	s.add(fit(name+" time", "ns", "call, both ends", cpu))
	return nil
}

// connections measures the memory of a held control connection, both ends.
func connections(s *Slopes) error {
	var points []Point
	for _, n := range []int{100, 300, 900} {
		b, err := newControlBench(touch)
		if err != nil {
			return err
		}
		before := memoryInUse()
		if err := b.connect(n); err != nil {
			return err
		}
		points = append(points, Point{float64(n), memoryInUse() - before})
		b.close()
	}
	s.add(fit("connection memory", "bytes", "connection, both ends", points))
	return nil
}

// usageRecord returns a line whose id, tokens and cost are as varied as real ones.
func usageRecord(i int) model.Record {
	r := newRand(uint64(i))
	id := model.RequestID(fmt.Sprintf("01M8ZM%020X", r.Uint64()))
	input, output := r.IntN(4000), r.IntN(1000)
	return model.Record{Kind: model.RecordUsage, Key: recorder.UsageKey(id), Usage: &model.Usage{
		Organisation: "duluth-floor", Service: "drafting-models", Version: "pattern@3", Input: input, Output: output, Cost: model.Money(input*1000 + output*4000), Steps: 1,
	}}
}

// ledgerRecords measures what a usage line costs the writer of its shard.
func ledgerRecords(s *Slopes) error {
	var bytes, cpu, sent []Point
	for _, n := range []int{100, 400, 1200} {
		platform := standin.NewPlatform()
		l := recorder.New(recorder.Config{Self: "n1", Store: platform, Layout: recorder.Layout{Usage: 1}, Flush: time.Millisecond, Window: time.Hour, Log: zerolog.Nop()})
		ctx, cancel := context.WithCancel(context.Background())
		go l.Run(ctx)
		records := make([]model.Record, n)
		for i := range records {
			records[i] = usageRecord(i)
		}
		line, err := json.Marshal(records)
		if err != nil {
			cancel()
			return fmt.Errorf("encode: %w", err)
		}
		sent = append(sent, Point{float64(n), float64(len(line))})
		used := processorTime()
		if _, err := l.Append(ctx, 0, records); err != nil {
			cancel()
			return fmt.Errorf("append: %w", err)
		}
		cpu = append(cpu, Point{float64(n), float64(processorTime() - used)})
		cancel()
		listing, err := platform.List(context.Background(), "ledger/")
		if err != nil {
			return fmt.Errorf("list: %w", err)
		}
		total := 0
		for _, o := range listing.Objects {
			total += len(o.Value)
		}
		bytes = append(bytes, Point{float64(n), float64(total)})
	}
	s.add(fit("usage line bytes", "bytes", "usage line sent to its writer", sent))
	s.add(fit("ledger record bytes", "bytes", "usage line stored", bytes))
	s.add(fit("ledger record time", "ns", "usage line committed", cpu))
	return nil
}

// kept measures the writer's memory for a usage line, a claim and a pin.
func kept(s *Slopes) error {
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
				replay.Apply(k.record(i), epoch)
			}
			points = append(points, Point{float64(n), memoryInUse() - before})
			runtime.KeepAlive(replay)
		}
		s.add(fit(k.name, "bytes", strings.Fields(k.name)[0]+" kept", points))
	}
	return nil
}

func fleetRows(n int) []model.Instance {
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

// views measures an instance's row: in memory, on the wire, and the time to apply a change.
func views(s *Slopes) error {
	var memory, wire, cpu []Point
	for _, n := range []int{300, 900, 1800} {
		rows := fleetRows(n)
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
			rows[0].Leaving = i%2 == 0
			h := registrar.NewHistory()
			h.Add(v)
			h.Add(registrar.NewView(rows, epoch.Add(time.Duration(i+1)*time.Second)))
			h.Since(v.Digest(), v.At())
		}
		cpu = append(cpu, Point{float64(n), float64(processorTime()-used) / rounds})
	}
	s.add(fit("row memory", "bytes", "instance known", memory))
	s.add(fit("row bytes", "bytes", "instance in a whole list", wire))
	s.add(fit("list time", "ns", "instance, for each change of the list", cpu))
	return nil
}

// documents measures the parsing of a document by its size.
func documents(s *Slopes) error {
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
	s.add(fit("document time", "ns", "KiB of document parsed", points))
	return nil
}
