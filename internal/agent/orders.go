package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/bramleyhinge/bramleyhinge/internal/pauser"
	"github.com/bramleyhinge/bramleyhinge/internal/watcher"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const (
	reconcileInterval = 500 * time.Millisecond
	orderTimeout      = time.Minute
)

// engineOrder is the body of a call to the engine's order API.
type engineOrder struct {
	Action  string          `json:"action"`
	Version model.VersionID `json:"version"`
	Fence   model.Fence     `json:"fence"`
}

// reconcile periodically makes the engine load and unload versions as the service's load orders
// say. They are a stored object that only the current owner can replace, so orders of a
// former owner never reach the agent. Comparing them with the versions that the engine
// reports covers engines that ignore fences.
func (a *Agent) reconcile(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.reconcileOnce(ctx, time.Now()); err != nil {
			a.cfg.Log.Warn().Err(err).Msg("agent: engine order failed, will be retried")
		}
		pauser.Pause(ctx, reconcileInterval)
	}
}

func (a *Agent) reconcileOnce(ctx context.Context, now time.Time) error {
	s := a.cfg.Watcher.Catalogue().Services[a.cfg.Settings.Service]
	if s == nil || s.Orders == nil || !a.backend.healthy.Load() || a.draining.Load() {
		return nil
	}
	if a.cfg.Watcher.LeaseState(now) != watcher.LeaseCurrent {
		return nil
	}
	wanted, ok := s.Orders.Versions[a.cfg.Settings.Instance]
	if !ok {
		return nil
	}
	for _, o := range missingOrders(wanted, *a.backend.loadedVersions.Load()) {
		o.Fence = s.Orders.Fence
		if err := a.backend.order(ctx, o); err != nil {
			return err
		}
		a.cfg.Log.Info().Str("action", o.Action).Str("version", string(o.Version)).Uint64("fence", uint64(o.Fence)).Msg("agent: engine order executed")
	}
	return nil
}

// missingOrders returns the orders that turn the loaded versions into the wanted ones. Loads come
// before unloads, so that capacity does not drop in between.
func missingOrders(wanted, loaded []model.VersionID) []engineOrder {
	var out []engineOrder
	for _, v := range wanted {
		if !slices.Contains(loaded, v) {
			out = append(out, engineOrder{Action: "load", Version: v})
		}
	}
	for _, v := range loaded {
		if !slices.Contains(wanted, v) {
			out = append(out, engineOrder{Action: "unload", Version: v})
		}
	}
	return out
}

func (b *backend) order(ctx context.Context, o engineOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	body, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encode order: %w", err)
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, b.cfg.URL+"/orders", bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("build order: %w", err)
	}
	resp, err := b.http.Do(r)
	if err != nil {
		return fmt.Errorf("send order: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		msg, _ := io.ReadAll(io.LimitReader(resp.Body, 256))
		return fmt.Errorf("engine refused to %s %s: status %d: %s", o.Action, o.Version, resp.StatusCode, msg)
	}
	return nil
}
