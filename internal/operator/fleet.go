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

// callTimeout bounds a call to one instance.
const callTimeout = 2 * time.Second

// maxConcurrentCalls bounds how many instances are called at the same time.
const maxConcurrentCalls = 32

// InstanceStatus is the status of one instance, or the error of the status call.
type InstanceStatus struct {
	Instance model.Instance  `json:"instance"`
	Status   json.RawMessage `json:"status,omitempty"`
	Error    string          `json:"error,omitempty"`
}

// FleetStatus is the status of all services, from the platform, and of all instances.
type FleetStatus struct {
	Services  []owner.Status   `json:"services"`
	Instances []InstanceStatus `json:"instances"`
}

// Status reads the services' status objects from the platform and asks each instance for its
// status. An instance that does not answer is reported in its InstanceStatus.
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
	out.Instances = callAll(ctx, pool, rows)
	return out, nil
}

func callAll(ctx context.Context, pool *messenger.Pool, rows []model.Instance) []InstanceStatus {
	out := make([]InstanceStatus, len(rows))
	slots := make(chan struct{}, maxConcurrentCalls)
	var wg sync.WaitGroup
	for i, row := range rows {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			out[i].Instance = row
			status, err := messenger.Call[json.RawMessage](callCtx, pool, row.Control, messenger.MethodStatus, messenger.Empty{})
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

// statusRevisions is the part of an instance's status that names the revisions it uses: Revision
// for the one service of an agent, Revisions for all services of an entry.
type statusRevisions struct {
	Revision  model.Revision                     `json:"revision"`
	Revisions map[model.ServiceID]model.Revision `json:"revisions"`
}

// CountAtRevision counts the instances that use the service's document, which are all entries and
// the service's agents, and those of them that have at least the revision.
func CountAtRevision(ctx context.Context, lister storer.Lister, pool *messenger.Pool, service model.ServiceID, revision model.Revision) (updated, total int, err error) {
	rows, err := lister.Instances(ctx)
	if err != nil {
		return 0, 0, fmt.Errorf("read instance list: %w", err)
	}
	var users []model.Instance
	for _, row := range rows {
		if row.Role == model.RoleEntry || row.Service == service {
			users = append(users, row)
		}
	}
	for _, s := range callAll(ctx, pool, users) {
		var r statusRevisions
		if s.Status == nil || json.Unmarshal(s.Status, &r) != nil {
			continue
		}
		if max(r.Revision, r.Revisions[service]) >= revision {
			updated++
		}
	}
	return updated, len(users), nil
}

// UnknownInstanceError reports that an instance is not in the instance list.
type UnknownInstanceError struct{ Instance model.InstanceID }

// Error names the instance and the command that lists all instances.
func (e *UnknownInstanceError) Error() string {
	return fmt.Sprintf("instance %s is not in the instance list: see 'bramleyhinge status'", e.Instance)
}

// Metrics returns the metrics text of one instance. It returns an UnknownInstanceError if the
// instance is not in the instance list.
func Metrics(ctx context.Context, lister storer.Lister, pool *messenger.Pool, id model.InstanceID) (string, error) {
	rows, err := lister.Instances(ctx)
	if err != nil {
		return "", fmt.Errorf("read instance list: %w", err)
	}
	for _, row := range rows {
		if row.Instance != id {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		reply, err := messenger.Call[messenger.MetricsReply](ctx, pool, row.Control, messenger.MethodMetrics, messenger.Empty{})
		return reply.Text, err
	}
	return "", &UnknownInstanceError{Instance: id}
}

// Explain asks the entries in turn for the record of a request and returns the first one found.
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
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		rec, err := messenger.Call[*explainer.Record](callCtx, pool, row.Control, messenger.MethodExplain, messenger.ExplainRequest{Request: id})
		cancel()
		if err == nil {
			return rec, nil
		}
		failures = append(failures, err.Error())
	}
	return nil, fmt.Errorf("no entry explains request %s: %s", id, strings.Join(failures, "; "))
}
