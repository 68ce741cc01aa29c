package measurer

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Point is the value of a quantity, measured at one size.
type Point struct{ Size, Value float64 }

// Slope is a quantity measured at several sizes, with the least-squares line through the points:
// Slope is the increase per unit of size, and Base the value at size zero, both in Unit.
type Slope struct {
	Name   string
	Unit   string
	Per    string
	Points []Point
	Slope  float64
	Base   float64
}

// fitLine returns the least-squares line through the points.
func fitLine(name, unit, per string, points []Point) Slope {
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

// Slopes holds the measured slopes in order and by name.
type Slopes struct {
	List   []Slope
	byName map[string]Slope
}

// Get returns the increase per unit of size of the slope with this name.
func (s *Slopes) Get(name string) float64 { return s.byName[name].Slope }

// At returns the value of the fitted line at a size.
func (s *Slopes) At(name string, size float64) float64 {
	return s.byName[name].Base + size*s.byName[name].Slope
}

func (s *Slopes) add(sl Slope) {
	if s.byName == nil {
		s.byName = map[string]Slope{}
	}
	s.byName[sl.Name] = sl
	s.List = append(s.List, sl)
}

var slopeSizes = []int{16, 64, 256}

// MeasureSlopes measures all slopes on this machine, which takes about a minute.
func MeasureSlopes() (*Slopes, error) {
	s := &Slopes{}
	for _, measure := range []func(*Slopes) error{measureChanges, measureIdlePolls, measureLoadReports, measureOwnerReports, measureConnections, measureLedgerRecords, measureRecordMemory, measureInstanceRows, measureDocumentParsing, measureDataPath} {
		if err := measure(s); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func newRelay() (*watcher.Watcher, *controlBench, error) {
	w := watcher.New(watcher.Config{Self: model.Instance{Instance: "n1", Role: model.RoleEntry}, Lease: 3 * time.Second, Log: zerolog.Nop()})
	b, err := newControlBench(func(s *messenger.Server) { registerTouch(s); w.Register(s) })
	return w, b, err
}

// measureChanges measures the bytes and the CPU time that a change of a document takes at a relay for
// each listener.
func measureChanges(s *Slopes) error {
	var bytes, cpu []Point
	value := encodeDocument(exampleDocument())
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
			b.forEachClient(func(p *messenger.Pool) {
				in := messenger.PollRequest{Feed: w.Feed().ID(), Seq: uint64(i), Service: "drafting-models"}
				if _, err := messenger.Call[messenger.PollReply](context.Background(), p, b.addr, messenger.MethodPoll, in); err != nil {
					panic(err)
				}
			})
		}
		bytes = append(bytes, Point{float64(n), float64(b.bytes.Load()-before) / rounds})
		cpu = append(cpu, Point{float64(n), float64(processorTime()-used) / rounds})
		b.close()
	}
	s.add(fitLine("change bytes", "bytes", "listener", bytes))
	s.add(fitLine("change time", "ns", "listener, both ends", cpu))
	return nil
}

// measureIdlePolls measures a poll that returns no change and only renews the lease.
func measureIdlePolls(s *Slopes) error {
	w, b, err := newRelay()
	if err != nil {
		return err
	}
	defer b.close()
	w.Feed().Apply(nil, 1, epoch)
	if err := b.connect(32); err != nil {
		return err
	}
	return measureCalls(s, b, "beat", func(p *messenger.Pool) error {
		_, err := messenger.Call[messenger.PollReply](context.Background(), p, b.addr, messenger.MethodPoll, messenger.PollRequest{Feed: w.Feed().ID(), Seq: 123456, Digest: 1 << 60, ListReadAt: epoch})
		return err
	})
}

// measureLoadReports measures one load report.
func measureLoadReports(s *Slopes) error {
	load := model.Load{Instance: "agent-duluth-a-12", Boot: "01M8ZME8RBVMMWHMRSM6FVQNFE", Versions: []model.VersionID{"sketch@1", "pattern@3"}, Running: 12, Limit: 64, Seq: 1, Revision: 123456}
	b, err := newControlBench(func(srv *messenger.Server) {
		registerTouch(srv)
		messenger.Handle(srv, messenger.MethodLoad, func(context.Context, messenger.Peer, messenger.LoadRequest) (model.Load, error) { return load, nil })
	})
	if err != nil {
		return err
	}
	defer b.close()
	if err := b.connect(32); err != nil {
		return err
	}
	return measureCalls(s, b, "load report", func(p *messenger.Pool) error {
		_, err := messenger.Call[model.Load](context.Background(), p, b.addr, messenger.MethodLoad, messenger.LoadRequest{Seq: 1, Wait: 5 * time.Second})
		return err
	})
}

// measureOwnerReports measures the report of an entry to a service owner, by the number of
// organisations.
func measureOwnerReports(s *Slopes) error {
	var bytes, cpu []Point
	for _, orgs := range []int{5, 20, 60} {
		in := messenger.ReportRequest{Service: "drafting-models", Entry: "entry-duluth-a-12", Interval: time.Minute, Demand: map[model.OrganisationID]model.Rate{}, Running: map[model.OrganisationID]int{}}
		reply := messenger.ReportReply{ValidFor: 2 * time.Minute, Grants: map[model.OrganisationID]model.Grant{}}
		for i := range orgs {
			org := model.OrganisationID(fmt.Sprint("organisation-", i))
			in.Demand[org], in.Running[org], reply.Grants[org] = 12.375, 7, model.Grant{Rate: 31.25, Concurrency: 12}
		}
		for i := range 5 {
			in.Stats = append(in.Stats, model.VersionStats{Version: model.VersionID(fmt.Sprint("pattern@", i)), Requests: 120, Rated: 60, Quality: 53.125, QualitySquareSum: 47.0625, Timed: 118, LogFirstTokenSum: -212.5, LogFirstTokenSquareSum: 391.0625})
		}
		b, err := newControlBench(func(srv *messenger.Server) {
			registerTouch(srv)
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
		b.forEachClient(func(p *messenger.Pool) {
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
	s.add(fitLine("report bytes", "bytes", "organisation, in one report with its grants", bytes))
	s.add(fitLine("report time", "ns", "organisation, in one report, both ends", cpu))
	return nil
}

// measureCalls measures the bytes and the CPU time of one call, at three numbers of calls.
func measureCalls(s *Slopes, b *controlBench, name string, call func(p *messenger.Pool) error) error {
	var bytes, cpu []Point
	for _, rounds := range []int{20, 80, 240} {
		before, used := b.bytes.Load(), processorTime()
		var failed error
		b.forEachClient(func(p *messenger.Pool) {
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
	s.add(fitLine(name+" bytes", "bytes", "call", bytes))
	s.add(fitLine(name+" time", "ns", "call, both ends", cpu))
	return nil
}

// measureConnections measures the memory of an idle control connection, both ends together.
func measureConnections(s *Slopes) error {
	var points []Point
	for _, n := range []int{100, 300, 900} {
		b, err := newControlBench(registerTouch)
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
	s.add(fitLine("connection memory", "bytes", "connection, both ends", points))
	return nil
}
