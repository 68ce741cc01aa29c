package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/explainer"
	"github.com/bramleyhinge/bramleyhinge/internal/messenger"
	"github.com/bramleyhinge/bramleyhinge/internal/owner"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// askTimeout bounds a question to one instance.
const askTimeout = 2 * time.Second

// asked bounds how many instances are asked at the same time.
const asked = 32

// InstanceStatus is one instance's answer, or why there is none.
type InstanceStatus struct {
	Instance model.Instance  `json:"instance"`
	Status   json.RawMessage `json:"status,omitempty"`
	Error    string          `json:"error,omitempty"`
}

// FleetStatus is what the platform and the instances say.
type FleetStatus struct {
	Services  []owner.Status   `json:"services"`
	Instances []InstanceStatus `json:"instances"`
}

// Status asks the platform for the services' status objects and every instance for its own.
func Status(ctx context.Context, store storer.Store, lister storer.Lister, pool *messenger.Pool) (FleetStatus, error) {
	var out FleetStatus
	l, err := store.List(ctx, "status/")
	if err != nil {
		return out, fmt.Errorf("list status objects: %w", err)
	}
	for _, o := range l.Objects {
		var s owner.Status
		if err := json.Unmarshal(o.Value, &s); err != nil {
			return out, fmt.Errorf("decode %s: %w", o.Key, err)
		}
		out.Services = append(out.Services, s)
	}
	rows, err := lister.Instances(ctx)
	if err != nil {
		return out, fmt.Errorf("read instance list: %w", err)
	}
	out.Instances = askAll(ctx, pool, rows)
	return out, nil
}

func askAll(ctx context.Context, pool *messenger.Pool, rows []model.Instance) []InstanceStatus {
	out := make([]InstanceStatus, len(rows))
	slots := make(chan struct{}, asked)
	var wg sync.WaitGroup
	for i, row := range rows {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			askCtx, cancel := context.WithTimeout(ctx, askTimeout)
			defer cancel()
			out[i].Instance = row
			status, err := messenger.Call[json.RawMessage](askCtx, pool, row.Control, messenger.MethodStatus, messenger.Empty{})
			if err != nil {
				out[i].Error = err.Error()
				return
			}
			out[i].Status = status
		})
	}
	wg.Wait()
	return out
}

// revisions is the part of an instance's status that tells what is in force; an agent
// has one service and an entry all of them.
type revisions struct {
	Revision  model.Revision                     `json:"revision"`
	Revisions map[model.ServiceID]model.Revision `json:"revisions"`
}

// CountAtRevision counts the instances that a revision of a service concerns and those that have it.
func CountAtRevision(ctx context.Context, lister storer.Lister, pool *messenger.Pool, service model.ServiceID, revision model.Revision) (have, all int, err error) {
	rows, err := lister.Instances(ctx)
	if err != nil {
		return 0, 0, fmt.Errorf("read instance list: %w", err)
	}
	var concerned []model.Instance
	for _, row := range rows {
		if row.Role == model.RoleEntry || row.Service == service {
			concerned = append(concerned, row)
		}
	}
	for _, s := range askAll(ctx, pool, concerned) {
		var r revisions
		if s.Status == nil || json.Unmarshal(s.Status, &r) != nil {
			continue
		}
		if max(r.Revision, r.Revisions[service]) >= revision {
			have++
		}
	}
	return have, len(concerned), nil
}

// UnknownInstanceError names an instance that the instance list does not have.
type UnknownInstanceError struct{ Instance model.InstanceID }

// Error names the remedy.
func (e *UnknownInstanceError) Error() string {
	return fmt.Sprintf("instance %s is not in the instance list: see 'bramleyhinge status'", e.Instance)
}

// Metrics asks one instance for its metrics.
func Metrics(ctx context.Context, lister storer.Lister, pool *messenger.Pool, id model.InstanceID) (string, error) {
	rows, err := lister.Instances(ctx)
	if err != nil {
		return "", fmt.Errorf("read instance list: %w", err)
	}
	for _, row := range rows {
		if row.Instance != id {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, askTimeout)
		defer cancel()
		reply, err := messenger.Call[messenger.MetricsReply](ctx, pool, row.Control, messenger.MethodMetrics, messenger.Empty{})
		return reply.Text, err
	}
	return "", &UnknownInstanceError{Instance: id}
}

// Explain asks all entries for the record of a request.
func Explain(ctx context.Context, lister storer.Lister, pool *messenger.Pool, id model.RequestID) (*explainer.Record, error) {
	rows, err := lister.Instances(ctx)
	if err != nil {
		return nil, fmt.Errorf("read instance list: %w", err)
	}
	var failures []string
	for _, row := range rows {
		if row.Role != model.RoleEntry {
			continue
		}
		askCtx, cancel := context.WithTimeout(ctx, askTimeout)
		rec, err := messenger.Call[*explainer.Record](askCtx, pool, row.Control, messenger.MethodExplain, messenger.ExplainRequest{Request: id})
		cancel()
		if err == nil {
			return rec, nil
		}
		failures = append(failures, err.Error())
	}
	return nil, fmt.Errorf("no entry explains %s: %s", id, strings.Join(failures, "; "))
}
