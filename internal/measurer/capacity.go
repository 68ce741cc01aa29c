package measurer

import (
	"fmt"
	"io"
	"math"
	"strings"
	"time"
)

// Size of the fleet that the users described.
const (
	sizeEntries       = 420.0
	sizeReplicas      = 890.0
	sizeDomains       = 7.0
	sizeRegions       = 2.0
	sizeRequests      = 4500.0
	sizeTokens        = 1.4e6
	sizeChanges       = 3300.0
	sizeServices      = 4.0
	sizeOrganisations = 20.0
	sizeRestarts      = 190.0 + 16.0
	sizeClaimShare    = 0.02
	sizePinShare      = 0.005
	secondsPerDay     = 86_400.0
)

// Targets for the cost of the control traffic on one node, from the same description: share of a
// core, bytes of memory, bytes per second.
const (
	targetCoreShare      = 0.014
	targetMemory         = 128e6
	targetBytesPerSecond = 26e3
)

// Settings that the calculation uses. They have the values that the packages use; rates are
// per second, times in seconds, sizes in bytes.
const (
	pollIntervalSeconds   = 0.8
	relaysPerListener     = 3.0
	processesPerRelay     = 11.0
	agentsPerSubset       = 16.0
	maxAgentReports       = 10.0
	loadPollSeconds       = 5.0
	ownerReportsPerSecond = 8.0
	maxOwnerPolls         = 8.0
	flushPerSecond        = 3.125
	claimShards           = 10.0
	answerBytes           = 600.0
	usageShards           = 64.0
	usageCommitsPerSecond = 1.0
	rowsPerRestart        = 4.0
	baseMemory            = 30e6
	watchesPerSecond      = 2.0
)

// role holds the cost of control traffic for one kind of node: messages per second, bytes per
// second, nanoseconds of CPU time per second, and bytes of memory.
type role struct {
	name      string
	state     string
	mechanism string
	messages  float64
	bytes     float64
	cpu       float64
	memory    float64
}

func (r role) withExtra(name string, extra role) role {
	return role{name: name, state: extra.state, mechanism: extra.mechanism, messages: r.messages + extra.messages, bytes: r.bytes + extra.bytes, cpu: r.cpu + extra.cpu, memory: r.memory + extra.memory}
}

// capacity calculates the cost of each role from the slopes.
type capacity struct {
	slopes     *Slopes
	processes  float64
	relays     float64
	documentKB float64
}

// oneEndShare is the share of one end in a cost that was measured at both ends together.
const oneEndShare = 0.5

func newCapacity(slopes *Slopes) capacity {
	c := capacity{slopes: slopes, processes: sizeEntries + sizeReplicas, documentKB: float64(len(exampleDocument())) / 1024}
	c.relays = math.Ceil(c.processes/sizeRegions/processesPerRelay) * sizeRegions
	return c
}

// listener returns the cost of following the configuration and the instance list, which every
// process has.
func (c capacity) listener() role {
	idlePolls := relaysPerListener / pollIntervalSeconds
	changes := sizeChanges / secondsPerDay
	rows := sizeRestarts * rowsPerRestart / secondsPerDay
	row := c.slopes.Get("row bytes")
	return role{
		messages: idlePolls,
		bytes:    idlePolls*c.slopes.Get("beat bytes") + relaysPerListener*changes*c.slopes.Get("change bytes") + relaysPerListener*rows*2*row,
		cpu:      idlePolls*oneEndShare*c.slopes.Get("beat time") + changes*(oneEndShare*c.slopes.Get("change time")+c.documentKB*c.slopes.Get("document time")) + rows*c.processes*c.slopes.Get("list time"),
		memory:   baseMemory + c.processes*c.slopes.Get("row memory") + relaysPerListener*oneEndShare*c.slopes.Get("connection memory"),
	}
}

func (c capacity) agent() role {
	entries := sizeEntries * agentsPerSubset * sizeServices / sizeReplicas
	l := c.listener()
	polls := math.Min(maxAgentReports, entries/loadPollSeconds)
	return role{
		name: "agent", state: fmt.Sprintf("its service's document, %.0f instance rows, answers not yet acknowledged (bounded by the setting keep)", c.processes),
		mechanism: "long polls to 3 relays; load reports that the agent paces; usage lines only when an entry did not acknowledge",
		messages:  l.messages + polls, bytes: l.bytes + polls*c.slopes.Get("load report bytes"),
		cpu:    l.cpu + polls*oneEndShare*c.slopes.Get("load report time"),
		memory: l.memory + entries*oneEndShare*c.slopes.Get("connection memory"),
	}
}

func (c capacity) entry() role {
	agents := agentsPerSubset * sizeServices
	l := c.listener()
	polls := agents / loadPollSeconds
	reports := ownerReportsPerSecond / sizeEntries * sizeServices
	lines := sizeRequests / sizeEntries
	return role{
		name: "entry", state: fmt.Sprintf("%.0f documents, %.0f instance rows, %.0f agents, estimates for %.0f organisations, at most 4,096 decision records", sizeServices, c.processes, agents, sizeOrganisations),
		mechanism: "as the agent; load long polls to a subset of 16 agents a service; one report to each owner in turn; usage lines in groups to their writers",
		messages:  l.messages + polls + reports + 4, bytes: l.bytes + polls*c.slopes.Get("load report bytes") + reports*c.reportBytes() + lines*c.slopes.Get("usage line bytes"),
		cpu:    l.cpu + polls*oneEndShare*c.slopes.Get("load report time") + reports*c.reportTime() + lines*c.slopes.Get("ledger record time"),
		memory: l.memory + (agents+usageShards+claimShards+sizeServices)*oneEndShare*c.slopes.Get("connection memory"),
	}
}

func (c capacity) relay() role {
	listeners := c.processes * relaysPerListener / c.relays
	idlePolls := listeners / pollIntervalSeconds
	changes := sizeChanges / secondsPerDay
	rows := sizeRestarts * rowsPerRestart / secondsPerDay
	row := c.slopes.Get("row bytes")
	wholeList := c.processes * row / math.Max(1, c.relays-3)
	return c.entry().withExtra("relay (an entry)", role{
		state:     fmt.Sprintf("as an entry, and 64 recent instance lists; %.0f listeners", listeners),
		mechanism: fmt.Sprintf("%.0f of the entries hold a platform watch; whole lists are read in turns; changes pass on as deltas", c.relays),
		messages:  idlePolls + watchesPerSecond,
		bytes:     idlePolls*c.slopes.Get("beat bytes") + listeners*changes*c.slopes.Get("change bytes") + listeners*rows*2*row + wholeList,
		cpu:       idlePolls*oneEndShare*c.slopes.Get("beat time") + listeners*changes*oneEndShare*c.slopes.Get("change time"),
		memory:    listeners*oneEndShare*c.slopes.Get("connection memory") + c.processes*c.slopes.Get("row memory")*8,
	})
}

func (c capacity) writer() role {
	lines := sizeRequests / usageShards
	return c.entry().withExtra("usage writer (an entry, one shard)", role{
		state:     fmt.Sprintf("the keys of an hour's usage lines (%.2f M)", lines*3600/1e6),
		mechanism: fmt.Sprintf("%.0f shards, one group commit a second each by conditional create; chunks and a manifest; any entry may write", usageShards),
		messages:  sizeEntries/4 + usageCommitsPerSecond,
		bytes:     lines*c.slopes.Get("usage line bytes") + lines*c.slopes.Get("ledger record bytes"),
		cpu:       lines * c.slopes.Get("ledger record time"),
		memory:    lines * 3600 * c.slopes.Get("usage memory"),
	})
}

func (c capacity) claimWriter() role {
	claims, pins := sizeRequests*sizeClaimShare/claimShards, sizeRequests*sizePinShare/claimShards
	return c.entry().withExtra("claim writer (an entry, one shard)", role{
		state:     fmt.Sprintf("claims of a day (%.2f M) and pins of a day (%.2f M), if %.0f%% of the requests are claimed and %.1f%% pinned", claims*secondsPerDay/1e6, pins*secondsPerDay/1e6, 100*sizeClaimShare, 100*sizePinShare),
		mechanism: fmt.Sprintf("%.0f shards, a group commit each 320 ms at most (flush: 320ms); keys are kept as 128-bit hashes, answers for an hour", claimShards),
		messages:  2*claims + pins + flushPerSecond,
		bytes:     2 * (2*claims + pins) * c.slopes.Get("usage line bytes"),
		cpu:       (2*claims + pins) * (c.slopes.Get("ledger record time") + oneEndShare*c.slopes.Get("load report time")),
		memory:    claims*secondsPerDay*c.slopes.Get("claim memory") + claims*3600*answerBytes + pins*secondsPerDay*c.slopes.Get("pin memory"),
	})
}

// reportBytes and reportTime return the cost of a report with the organisations of one service.
func (c capacity) reportBytes() float64 { return c.slopes.At("report bytes", sizeOrganisations/2) }

func (c capacity) reportTime() float64 {
	return oneEndShare * c.slopes.At("report time", sizeOrganisations/2)
}

func (c capacity) owner() role {
	agents := sizeReplicas / sizeServices
	polls := math.Min(agents/2, maxOwnerPolls)
	return c.entry().withExtra("service owner (an entry)", role{
		state:     fmt.Sprintf("reports of %.0f entries, loads of %.0f agents, one roll-out, one order sheet", sizeEntries, agents),
		mechanism: "a lease by conditional update; the interval of reports grows with the entries so that 8/s arrive; at most 8 agents asked a second",
		messages:  ownerReportsPerSecond + polls + 0.5,
		bytes:     ownerReportsPerSecond*c.reportBytes() + polls*c.slopes.Get("load report bytes"),
		cpu:       ownerReportsPerSecond*c.reportTime() + polls*oneEndShare*c.slopes.Get("load report time"),
		memory:    sizeEntries*sizeOrganisations*64 + agents*1000,
	})
}

// WriteCapacity measures the slopes and writes the capacity page.
func WriteCapacity(w io.Writer) error {
	s, err := MeasureSlopes()
	if err != nil {
		return err
	}
	c := newCapacity(s)
	var b strings.Builder
	fmt.Fprintf(&b, capacityIntro, sizeEntries, sizeReplicas, sizeDomains, sizeRegions, sizeRequests, sizeTokens/1e6, sizeChanges, sizeEntries+sizeReplicas, time.Now().UTC().Format(time.DateOnly))
	writeSlopes(&b, s)
	writeRoles(&b, []role{c.agent(), c.entry(), c.relay(), c.writer(), c.claimWriter(), c.owner()})
	c.writePlatform(&b)
	c.writeWork(&b)
	b.WriteString(capacityEnd)
	_, err = io.WriteString(w, b.String())
	if err != nil {
		return fmt.Errorf("write capacity: %w", err)
	}
	return nil
}

func writeSlopes(b *strings.Builder, s *Slopes) {
	b.WriteString("## Slopes\n\n| slope | per | measured at | fit |\n|---|---|---|---|\n")
	for _, sl := range s.List {
		var points []string
		for _, p := range sl.Points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.Size, formatNumber(p.Value)))
		}
		fmt.Fprintf(b, "| %s (%s) | %s | %s | %s + %s each |\n", sl.Name, sl.Unit, sl.Per, strings.Join(points, ", "), formatNumber(sl.Base), formatNumber(sl.Slope))
	}
	b.WriteString("\n")
}

func formatNumber(v float64) string {
	switch a := math.Abs(v); {
	case a >= 1e9:
		return fmt.Sprintf("%.2f G", v/1e9)
	case a >= 1e6:
		return fmt.Sprintf("%.2f M", v/1e6)
	case a >= 1e4:
		return fmt.Sprintf("%.1f k", v/1e3)
	default:
		return fmt.Sprintf("%.3g", v)
	}
}

func formatVerdict(ok bool) string {
	if ok {
		return "met"
	}
	return "**missed**"
}

func writeRoles(b *strings.Builder, roles []role) {
	b.WriteString("## Roles at that size\n\nAll figures are for control, one node, computed from the slopes above.\n\n")
	b.WriteString("| role | state | mechanism | messages/s | core (target 1.4%) | memory (target 128 MB) | traffic (target 26 KB/s) |\n|---|---|---|---|---|---|---|\n")
	for _, r := range roles {
		core := r.cpu / 1e9
		fmt.Fprintf(b, "| %s | %s | %s | %.0f | %.2f%% %s | %.0f MB %s | %.1f KB/s %s |\n", r.name, r.state, r.mechanism, r.messages,
			100*core, formatVerdict(core <= targetCoreShare), r.memory/1e6, formatVerdict(r.memory <= targetMemory), r.bytes/1e3, formatVerdict(r.bytes <= targetBytesPerSecond))
	}
	missed := 0
	for _, r := range roles {
		if r.cpu/1e9 > targetCoreShare || r.memory > targetMemory || r.bytes > targetBytesPerSecond {
			missed++
			fmt.Fprintf(b, "| **missed by** %s | | its mechanism has to change | | | | |\n", r.name)
		}
	}
	if missed == 0 {
		b.WriteString("| **missed by** none of the rows above | | | | | | |\n")
	}
	b.WriteString("\n")
}

func (c capacity) writePlatform(b *strings.Builder) {
	reads := c.relays*watchesPerSecond + 1.5 + sizeEntries/60 + sizeServices*3 + sizeChanges/secondsPerDay*3
	writes := claimShards*flushPerSecond + usageShards*usageCommitsPerSecond + sizeServices*0.5 + sizeChanges/secondsPerDay*2 + 1
	fmt.Fprintf(b, "## Platform\n\n| call | a second | what carries it | allowed |\n|---|---|---|---|\n")
	fmt.Fprintf(b, "| reads | %.0f | %.0f relays with 2 watches a second each, whole lists in turns, signing keys each minute, leases | about 2,000 |\n", reads, c.relays)
	fmt.Fprintf(b, "| writes | %.0f | %.0f shards for claims with at most 3 group commits a second, %.0f for usage with one, leases, documents and their history | several hundred |\n", writes, claimShards, usageShards)
	fmt.Fprintf(b, "| bytes of one segment | %s | %.0f lines in a second on one of %.0f shards | 1 MB |\n\n", formatNumber(sizeRequests/usageShards*c.slopes.Get("ledger record bytes")), sizeRequests/usageShards, usageShards)
}

func (c capacity) writeWork(b *strings.Builder) {
	perEntry := sizeTokens / sizeEntries
	cores := sizeTokens * c.slopes.Get("token time") / 1e9
	fmt.Fprintf(b, "## Work\n\nNot control, but it decides how many entries are needed: %.0f tokens/s pass each entry; entry and agent together spend %s ns a token, %.0f cores for the whole fleet, %.2f cores for each of the %.0f nodes.\n\n",
		perEntry, formatNumber(c.slopes.Get("token time")), cores, cores/(sizeEntries+sizeReplicas), sizeEntries+sizeReplicas)
}

const capacityIntro = `# Capacity of the own deployment

What each role needs at the size of the users' first letter: %.0f nodes before %.0f replicas
in %.0f failure domains and %.0f regions, %.0f requests/s, %.1f M tokens/s, %.0f changes a day.
The 420 nodes are read as entries, and each replica has its agent beside it: %.0f processes.

Regenerate this page with

    go run ./cmd/measure capacity > docs/design/capacity.md

which measures the slopes on the machine it runs on (the same functions are benchmarks:
go test -bench Slopes ./internal/measurer) and redoes the arithmetic below. Last run: %s.

`

const capacityEnd = `## Where the first limits lie

- The writers' memory grows with requests, not with the fleet. More shards divide it: the
  settings ledger.usage (64 in the rows above) and ledger.shards, alike on all entries and
  set on an empty ledger. More shards for claims cost 3 writes a second each at
  flush: 320ms.
- A relay's traffic is its listeners' polls. More relays divide it, up to the platform's
  reads: each further relay costs 2 reads a second.
- The owner's reports are bounded by a fixed rate, so the price of a larger fleet is a longer
  interval: at 420 entries each reports every 53 s, and a grant lasts 105 s.
- A change reaches a process by one watch and one relay's push, both without a wait. The
  tests show 3 s as a bound on small fleets; at this size it is not measured.
- One entry may hold several parts at once (relay, writer, owner); their sums are not in the
  rows. Rendezvous hashing spreads 120 relays, 74 shards and 4 services over 420 entries.
- The assumed shares of claims (2%) and pins (0.5%) are ours; the letter gives none.
- Not measured: many regions' real links, accept queues at a mass restart, clock skew
  between relays that read the instance list.
`
