package parser

import (
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	defaultSessionTTL = 24 * time.Hour
	defaultConfidence = 0.9
	defaultHoldTime   = 10 * time.Minute
	maxWeight         = 1e6
	maxConcurrency    = 1_000_000
)

// ParseDocument parses a service document; the error is a Faults that lists every error of the file.
func ParseDocument(file string, data []byte) (*model.Document, error) {
	r := &reader{file: file}
	s := r.parseFile(data)
	if s == nil {
		return nil, r.faults.sorted()
	}
	d := readDocument(s)
	checkDocument(s, d)
	if len(r.faults) > 0 {
		return nil, r.faults.sorted()
	}
	return d, nil
}

func readDocument(s *section) *model.Document {
	d := &model.Document{
		Service:        required(s, "service", parseName[model.ServiceID]),
		Kind:           required(s, "kind", oneOf(model.KindModel, model.KindPlain)),
		CutoffFallback: optional(s, "cutoff", model.FallbackRefuse, oneOf(model.FallbackServe, model.FallbackRefuse)),
		Target:         optional(s, "target", 0, numberBetween[model.Quality](0, 1)),
		Confidence:     optional(s, "confidence", defaultConfidence, model.ParseShare),
		Explore:        optional(s, "explore", 0, model.ParseShare),
		Cascade:        optional(s, "cascade", false, parseBool),
		EgressPrice:    optional(s, "egress", 0, model.ParseVolumePrice),
		Session:        readSession(s.subsection("session")),
		Evacuated:      parseList(s, "evacuated", parseName[model.DomainID]),
	}
	for _, v := range s.subsections("versions") {
		d.Versions = append(d.Versions, readVersion(v))
	}
	for _, o := range s.subsections("organisations") {
		d.Organisations = append(d.Organisations, readOrganisation(o, d.Target))
	}
	for _, c := range s.subsections("classes") {
		d.Classes = append(d.Classes, readClass(c))
	}
	for _, route := range s.subsections("routes") {
		d.Routes = append(d.Routes, readRoute(route))
	}
	if rollout := s.subsection("rollout"); rollout != nil {
		d.Rollout = readRollout(rollout)
	}
	s.close("service", "kind", "cutoff", "target", "confidence", "explore", "cascade", "egress",
		"session", "versions", "organisations", "classes", "routes", "rollout", "evacuated")
	return d
}

func readSession(s *section) model.SessionRule {
	rule := model.SessionRule{
		TTL:               optional(s, "ttl", defaultSessionTTL, model.ParseDuration),
		WithdrawnFallback: optional(s, "withdrawn", model.FallbackRefuse, oneOf(model.FallbackRefuse, model.FallbackMove)),
	}
	s.close("ttl", "withdrawn")
	return rule
}

func readVersion(s *section) model.Version {
	v := model.Version{
		Version:      required(s, "version", parseName[model.VersionID]),
		Model:        required(s, "model", parseName[model.ModelID]),
		State:        optional(s, "state", model.StateServing, oneOf(model.StateServing, model.StateRetiring, model.StateWithdrawn)),
		Input:        required(s, "input", model.ParseTokenPrice),
		Output:       required(s, "output", model.ParseTokenPrice),
		PriorQuality: required(s, "prior", numberBetween[model.Quality](0, 1)),
		Weight:       optional(s, "weight", 1, numberBetween[float64](0, maxWeight)),
		Replicas:     optional(s, "replicas", 0, integerBetween(0, 100_000)),
	}
	s.close("version", "model", "state", "input", "output", "prior", "weight", "replicas")
	return v
}

func readOrganisation(s *section, target model.Quality) model.Organisation {
	o := model.Organisation{
		Organisation: required(s, "organisation", parseName[model.OrganisationID]),
		Keys:         parseList(s, "keys", parseKeyHash),
		Versions:     parseList(s, "versions", parseName[model.VersionID]),
		Target:       optional(s, "target", target, numberBetween[model.Quality](0, 1)),
		Rate:         optional(s, "rate", 0, model.ParseRate),
		Tokens:       optional(s, "tokens", 0, model.ParseRate),
		SpendRate:    optional(s, "spend", 0, model.ParseSpendRate),
		Concurrency:  optional(s, "concurrency", 0, integerBetween(1, maxConcurrency)),
		Priority:     optional(s, "priority", model.PriorityHigh, oneOf(model.PriorityHigh, model.PriorityNormal, model.PriorityBatch)),
		Weight:       optional(s, "weight", 1, numberBetween[float64](0.01, maxWeight)),
		Regions:      parseList(s, "regions", parseName[model.RegionID]),
	}
	s.close("organisation", "keys", "versions", "target", "rate", "tokens", "spend", "concurrency", "priority", "weight", "regions")
	return o
}

func readClass(s *section) model.Class {
	c := model.Class{
		Class:    required(s, "class", parseName[model.ClassID]),
		Priority: required(s, "priority", oneOf(model.PriorityHigh, model.PriorityNormal, model.PriorityBatch)),
		Deadline: optional(s, "deadline", model.DefaultDeadline, model.ParseDuration),
	}
	s.close("class", "priority", "deadline")
	return c
}

func readRoute(s *section) model.Route {
	r := model.Route{
		Route:      required(s, "route", parseRoutePath),
		Method:     required(s, "method", oneOf("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")),
		Class:      optional(s, "class", "", parseName[model.ClassID]),
		Idempotent: required(s, "idempotent", parseBool),
		Regions:    parseList(s, "regions", parseName[model.RegionID]),
	}
	s.close("route", "method", "class", "idempotent", "regions")
	return r
}

func readRollout(s *section) *model.Rollout {
	r := &model.Rollout{
		Version:  required(s, "version", parseName[model.VersionID]),
		Baseline: required(s, "against", parseName[model.VersionID]),
		Steps:    parseList(s, "steps", model.ParseShare),
		Hold:     optional(s, "hold", defaultHoldTime, model.ParseDuration),
		Attempt:  optional(s, "attempt", 1, integerBetween(1, 1_000_000)),
	}
	if len(r.Steps) == 0 {
		s.addKeyFault("steps", "add rising percentages, such as [1%, 10%, 50%, 100%]")
	}
	if !slices.IsSorted(r.Steps) {
		s.addKeyFault("steps", "list the steps in ascending order")
	}
	s.close("version", "against", "steps", "hold", "attempt")
	return r
}

func parseKeyHash(s string) (model.KeyHash, error) {
	const remedy = "write sha256: and 64 hexadecimal digits, as printed by 'bramleyhinge check --hash'"
	digits, ok := strings.CutPrefix(s, "sha256:")
	if !ok {
		return model.KeyHash{}, valueError("", remedy)
	}
	b, err := hex.DecodeString(digits)
	if err != nil || len(b) != len(model.KeyHash{}) {
		return model.KeyHash{}, valueError("", remedy)
	}
	return model.KeyHash(b), nil
}

func parseRoutePath(s string) (string, error) {
	if !strings.HasPrefix(s, "/") || len(s) > 1024 || strings.ContainsAny(s, "?# ") {
		return "", valueError(s, "write a path that starts with '/', without query or spaces")
	}
	return s, nil
}

// checkDocument checks the rules that involve several keys.
func checkDocument(s *section, d *model.Document) {
	checkVersions(s, d)
	checkOrganisations(s, d)
	checkClasses(s, d)
	checkRollout(s, d)
}

func checkVersions(s *section, d *model.Document) {
	if d.Kind == model.KindModel && len(d.Versions) == 0 {
		s.addKeyFault("versions", "add at least one version")
	}
	if d.Kind == model.KindPlain && len(d.Versions) > 0 {
		s.r.addFault(s.fields["versions"], "versions", "", "remove the versions; a plain service has none")
	}
	if d.Kind == model.KindModel && len(d.Routes) > 0 {
		s.r.addFault(s.fields["routes"], "routes", "", "remove the routes; only a plain service has them")
	}
	seen := map[model.VersionID]bool{}
	for _, v := range d.Versions {
		if seen[v.Version] {
			s.r.addFault(s.fields["versions"], "versions", string(v.Version), "name each version once")
		}
		seen[v.Version] = true
	}
}

func checkOrganisations(s *section, d *model.Document) {
	if len(d.Organisations) == 0 {
		s.addKeyFault("organisations", "add at least one organisation")
	}
	names := map[model.OrganisationID]bool{}
	keys := map[model.KeyHash]bool{}
	for _, o := range d.Organisations {
		if names[o.Organisation] {
			s.r.addFault(s.fields["organisations"], "organisations", string(o.Organisation), "name each organisation once")
		}
		names[o.Organisation] = true
		if len(o.Keys) == 0 {
			s.r.addFault(s.fields["organisations"], "organisations.keys", string(o.Organisation), "add at least one key hash")
		}
		for _, k := range o.Keys {
			if keys[k] {
				s.r.addFault(s.fields["organisations"], "organisations.keys", string(o.Organisation), "give each organisation keys of its own")
			}
			keys[k] = true
		}
		checkOrganisationVersions(s, d, o)
	}
}

func checkOrganisationVersions(s *section, d *model.Document, o model.Organisation) {
	if d.Kind == model.KindModel && len(o.Versions) == 0 {
		s.r.addFault(s.fields["organisations"], "organisations.versions", string(o.Organisation), "list the versions that this organisation may use")
	}
	for _, id := range o.Versions {
		if _, ok := d.FindVersion(id); !ok {
			s.r.addFault(s.fields["organisations"], "organisations.versions", string(id), "name a version of this document")
		}
	}
}

func checkClasses(s *section, d *model.Document) {
	seen := map[model.ClassID]bool{}
	for _, c := range d.Classes {
		if seen[c.Class] {
			s.r.addFault(s.fields["classes"], "classes", string(c.Class), "name each class once")
		}
		seen[c.Class] = true
	}
	for _, r := range d.Routes {
		if r.Class != "" && !seen[r.Class] {
			s.r.addFault(s.fields["routes"], "routes.class", string(r.Class), "name a class of this document")
		}
	}
}

func checkRollout(s *section, d *model.Document) {
	if d.Rollout == nil {
		return
	}
	for _, id := range []model.VersionID{d.Rollout.Version, d.Rollout.Baseline} {
		v, ok := d.FindVersion(id)
		if !ok || v.State != model.StateServing {
			s.r.addFault(s.fields["rollout"], "rollout", string(id), "name a serving version of this document")
		}
	}
	if d.Rollout.Version == d.Rollout.Baseline {
		s.r.addFault(s.fields["rollout"], "rollout.against", string(d.Rollout.Baseline), "name a version other than the one that is rolled out")
	}
}
