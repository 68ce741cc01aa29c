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

// Defaults of settings that operators rarely change.
const (
	defaultLease                   = 3 * time.Second
	defaultFlushInterval           = 100 * time.Millisecond
	defaultClaimShards             = 4
	defaultUsageShards             = 8
	defaultMaxBody                 = 4 << 20
	defaultMaxHeader               = 64 << 10
	defaultAnswerMemory            = 32 << 20
	defaultBodyMemory              = 256 << 20
	defaultOrganisationConcurrency = 1024
	defaultMaxConnections          = 4096
	defaultRequestTimeout          = 10 * time.Minute
	defaultDrainLag                = 2 * time.Second
	defaultDrainGrace              = 2 * time.Minute
	minSecretLength                = 16
	defaultFirstByteTarget         = 380 * time.Millisecond
	defaultTokenGapTarget          = 34 * time.Millisecond
)

// ParseSettings parses the settings of a process; the error is a Faults that lists every error of the file.
func ParseSettings(file string, data []byte) (*model.Settings, error) {
	r := &reader{file: file}
	s := r.parseFile(data)
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
		Instance: required(s, "instance", parseName[model.InstanceID]),
		Platform: required(s, "platform", parseHTTPURL),
		Secret:   required(s, "secret", loadSecret),
		Lease:    optional(s, "lease", defaultLease, model.ParseDuration),
		Service:  optional(s, "service", "", parseName[model.ServiceID]),
		Rater:    optional(s, "rater", "", parseHTTPURL),
		Peers:    parseList(s, "peers", parseAddress),
	}
	cfg.Place = readPlace(s)
	cfg.Listen = readListen(s, cfg.Role)
	cfg.Backend = readBackend(s, cfg)
	cfg.TLS = readTLS(s.subsection("tls"))
	cfg.Limits = readLimits(s.subsection("limits"))
	cfg.Ledger = readLedger(s.subsection("ledger"))
	cfg.Drain = readDrain(s.subsection("drain"))
	cfg.Log = readLog(s.subsection("log"))
	s.close("role", "instance", "place", "service", "platform", "rater", "peers", "secret", "listen",
		"backend", "tls", "limits", "ledger", "lease", "drain", "log")
	return cfg
}

func readPlace(s *section) model.Place {
	subsection := s.subsection("place")
	if subsection == nil {
		s.addKeyFault("place", "add region and domain")
		return model.Place{}
	}
	p := model.Place{
		Region: required(subsection, "region", parseName[model.RegionID]),
		Domain: required(subsection, "domain", parseName[model.DomainID]),
	}
	subsection.close("region", "domain")
	return p
}

func readListen(s *section, role model.Role) model.Listen {
	subsection := s.subsection("listen")
	if subsection == nil {
		s.addKeyFault("listen", "add the addresses to listen on")
		return model.Listen{}
	}
	l := model.Listen{
		Control: required(subsection, "control", parseAddress),
		Callers: optional(subsection, "callers", "", parseAddress),
		Work:    optional(subsection, "work", "", parseAddress),
	}
	if role == model.RoleEntry && l.Callers == "" {
		subsection.addKeyFault("callers", "add the address for callers")
	}
	if role == model.RoleAgent && l.Work == "" {
		subsection.addKeyFault("work", "add the address for work from entries")
	}
	subsection.close("callers", "work", "control")
	return l
}

func readBackend(s *section, cfg *model.Settings) model.Backend {
	subsection := s.subsection("backend")
	if subsection == nil {
		if cfg.Role == model.RoleAgent {
			s.addKeyFault("backend", "add the backend server beside this agent")
		}
		return model.Backend{}
	}
	if cfg.Role == model.RoleAgent && cfg.Service == "" {
		s.addKeyFault("service", "add the service of the backend server")
	}
	b := model.Backend{
		URL:             required(subsection, "url", parseHTTPURL),
		Kind:            required(subsection, "kind", oneOf(model.KindModel, model.KindPlain)),
		Concurrency:     optional(subsection, "concurrency", 64, integerBetween(1, 100_000)),
		FirstByteTarget: optional(subsection, "first", defaultFirstByteTarget, model.ParseDuration),
		TokenGapTarget:  optional(subsection, "between", defaultTokenGapTarget, model.ParseDuration),
	}
	subsection.close("url", "kind", "concurrency", "first", "between")
	return b
}

func readTLS(s *section) model.TLSFiles {
	if s == nil {
		return model.TLSFiles{}
	}
	f := model.TLSFiles{
		Cert: required(s, "cert", parseFilePath),
		Key:  required(s, "key", parseFilePath),
		CA:   required(s, "ca", parseFilePath),
	}
	s.close("cert", "key", "ca")
	return f
}

func readLimits(s *section) model.Limits {
	l := model.Limits{
		Body:                    optional(s, "body", defaultMaxBody, model.ParseBytes),
		Header:                  optional(s, "header", defaultMaxHeader, model.ParseBytes),
		RequestTimeout:          optional(s, "time", defaultRequestTimeout, model.ParseDuration),
		Connections:             optional(s, "connections", defaultMaxConnections, integerBetween(1, 1_000_000)),
		AnswerMemory:            optional(s, "keep", defaultAnswerMemory, model.ParseBytes),
		BodyMemory:              optional(s, "memory", defaultBodyMemory, model.ParseBytes),
		OrganisationConcurrency: optional(s, "organisation", defaultOrganisationConcurrency, integerBetween(1, 1_000_000)),
	}
	s.close("body", "header", "time", "connections", "keep", "memory", "organisation")
	return l
}

func readLedger(s *section) model.LedgerSettings {
	l := model.LedgerSettings{
		ClaimShards: optional(s, "shards", defaultClaimShards, integerBetween(1, 64)),
		UsageShards: optional(s, "usage", defaultUsageShards, integerBetween(1, 256)),
		Flush:       optional(s, "flush", defaultFlushInterval, model.ParseDuration),
		Window:      optional(s, "window", 24*time.Hour, model.ParseDuration),
	}
	s.close("shards", "usage", "flush", "window")
	return l
}

func readDrain(s *section) model.DrainSettings {
	d := model.DrainSettings{
		Lag:   optional(s, "lag", defaultDrainLag, model.ParseDuration),
		Grace: optional(s, "grace", defaultDrainGrace, model.ParseDuration),
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

func parseHTTPURL(s string) (string, error) {
	u, err := url.Parse(s)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", valueError(s, "write a URL such as http://127.0.0.1:7000")
	}
	return strings.TrimSuffix(s, "/"), nil
}

func parseAddress(s string) (string, error) {
	const remedy = "write an IP address and a port, such as 127.0.0.1:7100"
	host, _, err := net.SplitHostPort(s)
	if err != nil {
		return "", valueError(s, remedy)
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return "", valueError(s, remedy)
	}
	return s, nil
}

func parseFilePath(s string) (string, error) {
	if _, err := os.Stat(s); err != nil {
		return "", valueError(s, "name a file that can be read")
	}
	return s, nil
}

// loadSecret reads the fleet's shared secret from the source env:NAME or file:PATH, so that the settings do not contain it.
func loadSecret(s string) (string, error) {
	var value string
	if env, ok := strings.CutPrefix(s, "env:"); ok {
		value = os.Getenv(env)
	} else if path, ok := strings.CutPrefix(s, "file:"); ok {
		b, err := os.ReadFile(path)
		if err != nil {
			return "", valueError(s, "name a file that can be read")
		}
		value = strings.TrimSpace(string(b))
	} else {
		return "", valueError("", "write env:NAME or file:PATH; a secret itself does not belong in settings")
	}
	if len(value) < minSecretLength {
		return "", valueError(s, "set a secret of at least %d characters in this variable or file", minSecretLength)
	}
	return value, nil
}
