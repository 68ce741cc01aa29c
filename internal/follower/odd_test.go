package follower

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"github.com/bramleyhinge/bramleyhinge/internal/relayer"
	"github.com/bramleyhinge/bramleyhinge/internal/tester"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
	"github.com/bramleyhinge/bramleyhinge/platform"
	"github.com/bramleyhinge/bramleyhinge/platform/standin"
)

const (
	// oddMark encloses the number of an entry that the stand-in cannot hold.
	oddMark = "@odd@"
	// nesting is more than encoding/json decodes.
	nesting = 20_000
	// longBytes is the length of long texts, less than the store's bound on values.
	longBytes = 300_000
	// maxLineBytes bounds a line of the log, whatever an entry holds.
	maxLineBytes = 2_000
)

// oddStore sends what odd holds in the place of texts that begin and end with oddMark.
type oddStore struct {
	*standin.Store
	odd *strings.Replacer
}

// ServeHTTP implements http.Handler.
func (s oddStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	answer := httptest.NewRecorder()
	s.Store.ServeHTTP(answer, r)
	maps.Copy(w.Header(), answer.Header())
	w.WriteHeader(answer.Code)
	_, _ = s.odd.WriteString(w, answer.Body.String())
}

// logLines collects the lines of a log.
type logLines struct {
	mu    sync.Mutex
	lines []string
}

// Write implements io.Writer.
func (l *logLines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, string(b))
	return len(b), nil
}

func (l *logLines) all() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.lines)
}

func (l *logLines) count(text string) int {
	n := 0
	for _, line := range l.all() {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

type oddCase struct {
	Name, Entry string
	With        map[string]string
}

// text returns the entry as the store sends it.
func (c oddCase) text() string {
	text := c.Entry
	if text == "" {
		fields := map[string]string{
			"service": `"svc"`, "address": `"10.1.64.9:80"`, "zone": `"a"`, "version": `"v1"`, "slots": "48",
			"state": `"ready"`, "cold-remaining-ms": "0", "sequence": "1", "born": "1792678443311",
		}
		maps.Copy(fields, c.With)
		var members []string
		for _, name := range slices.Sorted(maps.Keys(fields)) {
			members = append(members, `"`+name+`":`+fields[name])
		}
		text = "{" + strings.Join(members, ",") + "}"
	}
	return strings.NewReplacer(
		"{deep}", strings.Repeat("[", nesting)+strings.Repeat("]", nesting),
		"{long}", strings.Repeat("x", longBytes), "{digits}", strings.Repeat("0", longBytes), "{bytes}", "\xff\xfe\x80",
	).Replace(text)
}

// TestOddEntryEndsFollowing checks that entries which another writer left among those of the backend servers name no
// backend server, that the others hold and are followed, at this entry and at those that it relays to, that an entry
// counts as soon as it is sound, and that it is logged once for each change.
func TestOddEntryEndsFollowing(t *testing.T) {
	store := standin.NewStore()
	var odd []model.BackendID
	var replace []string
	for _, c := range tester.Load[oddCase](t, "odd.yaml") {
		odd = append(odd, model.BackendID("odd."+strings.ReplaceAll(c.Name, " ", "-")))
		replace = append(replace, `"`+oddMark+strconv.Itoa(len(odd)-1)+oddMark+`"`, c.text())
	}
	server := httptest.NewServer(oddStore{Store: store, odd: strings.NewReplacer(replace...)})
	t.Cleanup(server.Close)
	announce := func(id model.BackendID, host int) {
		t.Helper()
		if err := store.Announce(standin.Server{
			ID: string(id), Service: "svc", Address: fmt.Sprintf("10.1.64.%d:80", host), Zone: "a", Version: "v1", Slots: 48, StartUnixMilli: 1792678443311,
		}); err != nil {
			t.Fatal(err)
		}
	}
	makeOdd := func() {
		t.Helper()
		for i, id := range odd {
			if err := store.Set("servers/"+string(id), oddMark+strconv.Itoa(i)+oddMark); err != nil {
				t.Fatal(err)
			}
		}
	}
	if err := store.Publish(standin.Plan{Version: 1}); err != nil {
		t.Fatal(err)
	}
	announce("sound1", 201)
	makeOdd()
	log := &logLines{}
	f := newPlatformFollower(t, store, zerolog.New(log))
	f.cfg.Store = platform.NewStore(platform.StoreConfig{Address: server.Listener.Addr().String()})
	runUntilEnd(t, f)
	awaitUsable := func(want ...model.BackendID) {
		t.Helper()
		slices.Sort(want)
		var got []model.BackendID
		for end := time.Now().Add(applyWithin); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if got = usableServers(f); isReady(f) && slices.Equal(want, got) {
				return
			}
		}
		t.Fatalf("backend servers, ready %v (-want +got):\n%s", isReady(f), cmp.Diff(want, got))
	}
	awaitUsable("sound1")
	announce("sound2", 202)
	awaitUsable("sound1", "sound2")
	for i, id := range odd {
		announce(id, 1+i)
	}
	awaitUsable(append([]model.BackendID{"sound1", "sound2"}, odd...)...)
	makeOdd()
	awaitUsable("sound1", "sound2")
	follower := newPlatformFollower(t, store, zerolog.Nop())
	relayAll(t, f, follower)
	if diff := cmp.Diff(usableServers(f), usableServers(follower)); diff != "" {
		t.Errorf("backend servers at an entry that follows this one (-want +got):\n%s", diff)
	}
	for _, id := range odd {
		store.Remove("servers/" + string(id))
	}
	announce("sound3", 203)
	awaitUsable("sound1", "sound2", "sound3")
	if diff := cmp.Diff(2*len(odd), log.count("cannot be decoded")); diff != "" {
		t.Errorf("lines on odd entries (-want +got):\n%s", diff)
	}
	for _, line := range log.all() {
		if len(line) > maxLineBytes {
			t.Errorf("a line of the log has %d bytes: %s...", len(line), line[:100])
		}
	}
}

func usableServers(f *Follower) []model.BackendID {
	var out []model.BackendID
	for _, s := range f.Servers("svc", time.Now()) {
		out = append(out, s.Backend)
	}
	slices.Sort(out)
	return out
}

// relayAll passes on what one entry knows to another one, through the encoding of the relays.
func relayAll(t *testing.T, from, to *Follower) {
	t.Helper()
	to.cfg.Relays = &Relays{Timing: relayer.NewTiming(0)}
	known := map[string]model.Revision{}
	for _, s := range to.subscriptions()[1:] {
		known[s.kind] = 0
	}
	// The feed is brought up to date last.
	from.updates.Lock()
	defer from.updates.Unlock()
	b, err := json.Marshal(from.Feed().Answer(t.Context(), relayer.PollRequest{Known: known, AtOnce: true}, from.cfg.Clock))
	if err != nil {
		t.Fatal(err)
	}
	var reply relayer.PollReply
	if err := json.Unmarshal(b, &reply); err != nil {
		t.Fatal(err)
	}
	to.applyReply(poll{changes: true}, reply)
}

// TestOddObjectStopsFollowing checks that an object of any kind that cannot be decoded leaves the last plan in force and
// its keys fresh, and that what comes beside and after it is followed.
func TestOddObjectStopsFollowing(t *testing.T) {
	for _, c := range tester.Load[oddCase](t, "objects.yaml") {
		t.Run(c.Name, func(t *testing.T) {
			t.Parallel()
			store := standin.NewStore()
			server := httptest.NewServer(oddStore{Store: store, odd: strings.NewReplacer(`"`+oddMark+`"`, c.text())})
			t.Cleanup(server.Close)
			set := func(key string, value any) {
				t.Helper()
				if err := store.Set(key, value); err != nil {
					t.Fatal(err)
				}
			}
			publish := func(version int) {
				t.Helper()
				if err := store.Publish(standin.Plan{Version: version}); err != nil {
					t.Fatal(err)
				}
			}
			publish(1)
			f := newPlatformFollower(t, store, zerolog.Nop())
			f.cfg.Store = platform.NewStore(platform.StoreConfig{Address: server.Listener.Addr().String()})
			runUntilEnd(t, f)
			await(t, "the lists", applyWithin, func() bool { return isReady(f) })
			for _, key := range []string{"config/main", "config/odd", "rollouts/odd", "marks/odd"} {
				set(key, oddMark)
			}
			set("rollouts/svc", map[string]any{"service": "svc", "target": "v2", "duration-s": 12})
			set("marks/sound", 1)
			await(t, "the order and the shared object", applyWithin, func() bool {
				o, _ := f.Order("svc")
				_, ok := f.SharedObject("marks/sound")
				return ok && o.Version == "v2"
			})
			asked := f.cfg.Clock()
			await(t, "keys that were confirmed since", applyWithin, func() bool {
				now := f.cfg.Clock()
				fresh, age := f.KeysFresh(now)
				return fresh && now-age > asked
			})
			if diff := cmp.Diff(int64(1), f.Plan().Version); diff != "" {
				t.Errorf("version in force (-want +got):\n%s", diff)
			}
			publish(2)
			await(t, "the next plan", applyWithin, func() bool { return f.Plan().Version == 2 })
		})
	}
}
