package parser

import (
	"net"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Defaults of settings that an operator rarely changes.
const (
	defaultLease        = 3 * time.Second
	defaultFlush        = 100 * time.Millisecond
	defaultShards       = 4
	defaultUsage        = 8
	defaultBody         = 4 << 20
	defaultHeader       = 64 << 10
	defaultKeep         = 32 << 20
	defaultBodies       = 256 << 20
	defaultOrganisation = 1024
	defaultConnections  = 4096
	defaultTime         = 10 * time.Minute
	defaultDrainLag     = 2 * time.Second
	defaultGrace        = 2 * time.Minute
	minSecretLength     = 16
	defaultFirst        = 380 * time.Millisecond
	defaultBetween      = 34 * time.Millisecond
)

// ParseSettings reads the settings of one process; the error is a Faults.
func ParseSettings(file string, data []byte) (*model.Settings, error) {
	r := &reader{file: file}
	s := r.open(data)
	if s == nil {
		return nil, r.faults.sorted()
	}
	cfg := readSettings(s)
	if len(r.faults) > 0 {
		return nil, r.faults.sorted()
	}
	return cfg, nil
}

func readSettings(s *section) *model.Settings {
	cfg := &model.Settings{
		Role:     required(s, "role", oneOf(model.RoleEntry, model.RoleAgent)),
		Instance: required(s, "instance", name[model.InstanceID]),
		Platform: required(s, "platform", httpURL),
		Secret:   required(s, "secret", secret),
		Lease:    optional(s, "lease", defaultLease, model.ParseDuration),
		Service:  optional(s, "service", "", name[model.ServiceID]),
		Rater:    optional(s, "rater", "", httpURL),
		Peers:    list(s, "peers", address),
	}
	cfg.Place = readPlace(s)
	cfg.Listen = readListen(s, cfg.Role)
	cfg.Backend = readBackend(s, cfg)
	cfg.TLS = readTLS(s.sub("tls"))
	cfg.Limits = readLimits(s.sub("limits"))
	cfg.Ledger = readLedger(s.sub("ledger"))
	cfg.Drain = readDrain(s.sub("drain"))
	cfg.Log = readLog(s.sub("log"))
	s.close("role", "instance", "place", "service", "platform", "rater", "peers", "secret", "listen",
		"backend", "tls", "limits", "ledger", "lease", "drain", "log")
	return cfg
}

func readPlace(s *section) model.Place {
	sub := s.sub("place")
	if sub == nil {
		s.missing("place", "add region and domain")
		return model.Place{}
	}
	p := model.Place{
		Region: required(sub, "region", name[model.RegionID]),
		Domain: required(sub, "domain", name[model.DomainID]),
	}
	sub.close("region", "domain")
	return p
}

func readListen(s *section, role model.Role) model.Listen {
	sub := s.sub("listen")
	if sub == nil {
		s.missing("listen", "add the addresses to listen on")
		return model.Listen{}
	}
	l := model.Listen{
		Control: required(sub, "control", address),
		Callers: optional(sub, "callers", "", address),
		Work:    optional(sub, "work", "", address),
	}
	if role == model.RoleEntry && l.Callers == "" {
		sub.missing("callers", "add the address for callers")
	}
	if role == model.RoleAgent && l.Work == "" {
		sub.missing("work", "add the address for work from entries")
	}
	sub.close("callers", "work", "control")
	return l
}

func readBackend(s *section, cfg *model.Settings) model.Backend {
	sub := s.sub("backend")
	if sub == nil {
		if cfg.Role == model.RoleAgent {
			s.missing("backend", "add the backend server beside this agent")
		}
		return model.Backend{}
	}
	if cfg.Role == model.RoleAgent && cfg.Service == "" {
		s.missing("service", "add the service of the backend server")
	}
	b := model.Backend{
		URL:             required(sub, "url", httpURL),
		Kind:            required(sub, "kind", oneOf(model.KindModel, model.KindPlain)),
		Concurrency:     optional(sub, "concurrency", 64, whole(1, 100_000)),
		FirstByteTarget: optional(sub, "first", defaultFirst, model.ParseDuration),
		TokenGapTarget:  optional(sub, "between", defaultBetween, model.ParseDuration),
	}
	sub.close("url", "kind", "concurrency", "first", "between")
	return b
}

func readTLS(s *section) model.TLSFiles {
	if s == nil {
		return model.TLSFiles{}
	}
	f := model.TLSFiles{
		Cert: required(s, "cert", filePath),
		Key:  required(s, "key", filePath),
		CA:   required(s, "ca", filePath),
	}
	s.close("cert", "key", "ca")
	return f
}

func readLimits(s *section) model.Limits {
	l := model.Limits{
		Body:           optional(s, "body", defaultBody, model.ParseBytes),
		Header:         optional(s, "header", defaultHeader, model.ParseBytes),
		RequestTimeout: optional(s, "time", defaultTime, model.ParseDuration),
		Connections:    optional(s, "connections", defaultConnections, whole(1, 1_000_000)),
		AnswerMemory:   optional(s, "keep", defaultKeep, model.ParseBytes),
		BodyMemory:     optional(s, "memory", defaultBodies, model.ParseBytes),
		Organisation:   optional(s, "organisation", defaultOrganisation, whole(1, 1_000_000)),
	}
	s.close("body", "header", "time", "connections", "keep", "memory", "organisation")
	return l
}

func readLedger(s *section) model.LedgerSettings {
	l := model.LedgerSettings{
		Shards:        optional(s, "shards", defaultShards, whole(1, 64)),
		Usage:         optional(s, "usage", defaultUsage, whole(1, 256)),
		FlushInterval: optional(s, "flush", defaultFlush, model.ParseDuration),
		Window:        optional(s, "window", 24*time.Hour, model.ParseDuration),
	}
	s.close("shards", "usage", "flush", "window")
	return l
}

func readDrain(s *section) model.DrainSettings {
	d := model.DrainSettings{
		Lag:   optional(s, "lag", defaultDrainLag, model.ParseDuration),
		Grace: optional(s, "grace", defaultGrace, model.ParseDuration),
	}
	s.close("lag", "grace")
	return d
}

func readLog(s *section) model.LogSettings {
	l := model.LogSettings{
		Level:  optional(s, "level", "info", oneOf("debug", "info", "warn", "error")),
		Format: optional(s, "form", "json", oneOf("json", "text")),
	}
	s.close("level", "form")
	return l
}

func httpURL(s string) (string, error) {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", remedy(s, "write a URL such as http://127.0.0.1:7000")
	}
	return strings.TrimSuffix(s, "/"), nil
}

func address(s string) (string, error) {
	const advice = "write an IP number and a port, such as 127.0.0.1:7100"
	host, _, err := net.SplitHostPort(s)
	if err != nil {
		return "", remedy(s, advice)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return "", remedy(s, advice)
	}
	return s, nil
}

func filePath(s string) (string, error) {
	if _, err := os.Stat(s); err != nil {
		return "", remedy(s, "name a file that can be read")
	}
	return s, nil
}

// secret reads the fleet secret through env:NAME or file:PATH, so that settings hold none.
func secret(s string) (string, error) {
	var value string
	if env, ok := strings.CutPrefix(s, "env:"); ok {
		value = os.Getenv(env)
	} else if path, ok := strings.CutPrefix(s, "file:"); ok {
		b, err := os.ReadFile(path)
		if err != nil {
			return "", remedy(s, "name a file that can be read")
		}
		value = strings.TrimSpace(string(b))
	} else {
		return "", remedy("", "write env:NAME or file:PATH; a secret itself does not belong in settings")
	}
	if len(value) < minSecretLength {
		return "", remedy(s, "set a secret of at least %d characters there", minSecretLength)
	}
	return value, nil
}
