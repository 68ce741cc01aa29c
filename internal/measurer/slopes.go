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
		_, err := messenger.Call[messenger.PollReply](context.Background(), p, b.addr, messenger.MethodPoll, messenger.PollRequest{Feed: w.Feed().ID(), Seq: 123456, Digest: 1 << 60, ListReadAt: epoch})
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
		reply := messenger.ReportReply{ValidFor: 2 * time.Minute, Grants: map[model.OrganisationID]model.Grant{}}
		for i := range orgs {
			org := model.OrganisationID(fmt.Sprint("organisation-", i))
			in.Demand[org], in.Running[org], reply.Grants[org] = 12.375, 7, model.Grant{Rate: 31.25, Concurrency: 12}
		}
		for i := range 5 {
			in.Stats = append(in.Stats, model.VersionStats{Version: model.VersionID(fmt.Sprint("pattern@", i)), Requests: 120, Rated: 60, Quality: 53.125, QualitySquareSum: 47.0625, Timed: 118, LogFirstTokenSum: -212.5, LogFirstTokenSquareSum: 391.0625})
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
