package quarantiner

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/standin"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// simulation plays sessions with prompts of many parts, and requests that crash each server that begins to run them.
type simulation struct {
	fleet
	r       *rand.Rand
	now     time.Time
	servers []*simServer
	clients []*simClient
	// crashes and lateArrivals count, for each culprit, the servers that it crashed and its arrivals later than four
	// seconds after the third of them.
	crashes      map[string]int
	thirdAt      map[string]time.Time
	lateArrivals map[string]int
	refused      map[string]bool
	served       int
	// delay is the time until a server begins to run a request that crashes it, pause the time until it comes again.
	delay, pause time.Duration
}

type simServer struct {
	name    string
	born    int64
	downTil time.Time
	running []*simClient
}

func (s *simServer) lifetime() model.ServerLifetime {
	return model.ServerLifetime{Backend: model.BackendID(s.name), StartUnixMilli: s.born}
}

// simClient sends one request after the other.
type simClient struct {
	name   string
	traits []model.Trait
	// culprit is set if a part of its prompt crashes servers, or the whole request, which comes again then; fresh if each
	// of its requests is new but for that part.
	culprit, fresh bool
	sent           int
	// entry is where the present request came in, on the server where it runs, if it runs.
	entry   int
	on      *simServer
	tries   int
	answers time.Time
	next    time.Time
}

const (
	simTick  = 50 * time.Millisecond
	simDown  = 3 * time.Second
	simStart = 5 * time.Second
)

func (s *simulation) place(c *simClient) {
	var up []*simServer
	for _, srv := range s.servers {
		if !s.now.Before(srv.downTil) && srv != c.on {
			up = append(up, srv)
		}
	}
	c.tries++
	if s.entries[c.entry].IsBanned(c.traits, s.now) && (c.tries > 1 || !s.entries[c.entry].ClaimTrial(s.t.Context(), c.traits, s.now)) {
		if !c.culprit {
			s.refused[c.name] = true
		}
		up = nil
	}
	if len(up) == 0 || c.tries > 3 {
		s.finish(c)
		return
	}
	c.on = up[s.r.IntN(len(up))]
	c.on.running = append(c.on.running, c)
	if !c.culprit {
		c.answers = s.now.Add(750*time.Millisecond + time.Duration(s.r.Int64N(int64(1500*time.Millisecond))))
		return
	}
	c.answers = s.now.Add(s.delay)
	if third := s.thirdAt[c.name]; !third.IsZero() && s.now.Sub(third) > 4*time.Second {
		s.lateArrivals[c.name]++
	}
}

func (s *simulation) finish(c *simClient) {
	c.on, c.tries = nil, 0
	pause := time.Duration(s.r.Int64N(int64(500 * time.Millisecond)))
	if c.culprit {
		pause = s.pause
	}
	c.next = s.now.Add(pause)
}

func (s *simulation) crash(srv *simServer, c *simClient) {
	s.crashes[c.name]++
	if s.crashes[c.name] == 3 {
		s.thirdAt[c.name] = s.now
	}
	for _, b := range s.end(srv) {
		s.place(b)
	}
}

// end ends a server and returns the clients whose requests ran there.
func (s *simulation) end(srv *simServer) []*simClient {
	broken := srv.running
	for i, e := range s.entries {
		var suspects []model.Trait
		// The attempts that were sent last come first.
		for _, b := range slices.Backward(broken) {
			if b.entry == i {
				suspects = append(suspects, b.traits...)
			}
		}
		if len(suspects) > 0 {
			e.RecordCrash(srv.lifetime(), suspects, s.now)
		}
	}
	srv.running, srv.downTil, srv.born = nil, s.now.Add(simDown), srv.born+1
	return broken
}

// storm ends some servers at the same moment, for no fault of a request.
func (s *simulation) storm(n int) {
	var broken []*simClient
	for _, srv := range s.servers[:n] {
		broken = append(broken, s.end(srv)...)
	}
	for _, b := range broken {
		s.place(b)
	}
}

// restart starts an entry anew, which learns what the others know from the store.
func (s *simulation) restart(i int) {
	s.exchange(s.now)
	s.entries[i] = newQuarantiner(i, s.platform)
	s.read(s.entries[i], s.now)
}

func (s *simulation) step() {
	for _, c := range s.clients {
		if c.on == nil && !s.now.Before(c.next) {
			c.entry = s.r.IntN(len(s.entries))
			if c.sent++; c.fresh {
				c.traits[len(c.traits)-1].ID = model.TraitID(fmt.Sprintf("request.%s.%d", c.name, c.sent))
			}
			s.place(c)
		}
	}
	for _, srv := range s.servers {
		for _, c := range slices.Clone(srv.running) {
			if s.now.Before(c.answers) || c.on != srv {
				continue
			}
			if c.culprit {
				s.crash(srv, c)
				break
			}
			srv.running = slices.DeleteFunc(srv.running, func(o *simClient) bool { return o == c })
			s.entries[c.entry].RecordProven(c.traits, s.now)
			s.served++
			s.finish(c)
		}
	}
	for i, e := range s.entries {
		for _, b := range e.Broadcasts(s.now) {
			for j, other := range s.entries {
				if i != j {
					other.OnBroadcast(b, s.now)
				}
			}
		}
	}
	s.now = s.now.Add(simTick)
}

// promptTraits returns the traits of a request: a part that all share, some of its session, and the whole request.
func promptTraits(name string, parts int) []model.Trait {
	names := []string{"part.base"}
	for i := range parts {
		names = append(names, fmt.Sprintf("part.%s.%d", name, i))
	}
	return traits(append(names, "request."+name))
}

// TestCulpritIsMissedBesideLongPrompts guards against a request that crashes servers and is never banned, or against
// sound requests that are banned in its place, because the servers run many requests with long prompts beside it.
func TestCulpritIsMissedBesideLongPrompts(t *testing.T) {
	type simulationCase struct {
		Name string
		// Sessions send requests with a number of Parts, Culprits ones with CulpritParts.
		Servers, Sessions, Parts, Culprits, CulpritParts, Entries int
		// Fresh is set if the culprits' requests are new but for a part, Delay the time until a server begins to run one.
		Fresh bool
		Delay time.Duration
		// Storms is the number of servers that end together, for no fault of a request, every five seconds.
		Storms int
		// Length is how long the case lasts, Pause how long after an answer culprits come again.
		Length, Pause time.Duration
		// Restart is how often an entry starts anew.
		Restart time.Duration
		// Refused is the largest number of sessions of which a request may be refused.
		Refused int
	}
	for _, c := range tester.Load[simulationCase](t, "simulations.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			for seed := range uint64(5) {
				s := &simulation{
					fleet: fleet{t: t, platform: standin.NewPlatform(), cutOff: map[int]bool{}}, r: rand.New(rand.NewPCG(seed, 1)), now: time.UnixMilli(1_700_000_000_000),
					crashes: map[string]int{}, thirdAt: map[string]time.Time{}, lateArrivals: map[string]int{}, refused: map[string]bool{}, delay: max(c.Delay, 200*time.Millisecond), pause: cmp.Or(c.Pause, 2*time.Second),
				}
				start := s.now
				for i := range c.Entries {
					s.entries = append(s.entries, newQuarantiner(i, s.platform))
				}
				for i := range c.Servers {
					s.servers = append(s.servers, &simServer{name: fmt.Sprint("s", i), born: 1})
				}
				for i := range c.Sessions {
					name := fmt.Sprint("session", i)
					s.clients = append(s.clients, &simClient{name: name, traits: promptTraits(name, c.Parts), next: start.Add(time.Duration(s.r.Int64N(int64(2 * time.Second))))})
				}
				for i := range c.Culprits {
					name := fmt.Sprint("culprit", i)
					s.clients = append(s.clients, &simClient{
						name: name, culprit: true, fresh: c.Fresh, traits: promptTraits(name, c.CulpritParts), next: start.Add(simStart + time.Duration(i)*100*time.Millisecond),
					})
				}
				for s.now.Sub(start) < cmp.Or(c.Length, 30*time.Second) {
					if since := s.now.Sub(start); c.Restart > 0 && since > 0 && since%c.Restart == 0 {
						s.restart(int(since/c.Restart) % c.Entries)
					}
					if since := s.now.Sub(start); since > simStart && since%(5*time.Second) == 0 {
						s.storm(c.Storms)
					}
					s.step()
				}
				for i := range c.Culprits {
					name := fmt.Sprint("culprit", i)
					if s.crashes[name] < 3 || s.lateArrivals[name] > 3 {
						t.Errorf("seed %d: %s crashed %d servers and arrived %d times later than four seconds after the third", seed, name, s.crashes[name], s.lateArrivals[name])
					}
				}
				if len(s.refused) > c.Refused {
					t.Errorf("seed %d: requests of %d sound sessions were refused, %d answers", seed, len(s.refused), s.served)
				}
			}
		})
	}
}
