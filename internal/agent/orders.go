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
	reconcileEvery = 500 * time.Millisecond
	orderTimeout   = time.Minute
)

// engineOrder is the engine's order API.
type engineOrder struct {
	Action  string          `json:"action"`
	Version model.VersionID `json:"version"`
	Fence   model.Fence     `json:"fence"`
}

// reconcile brings the engine in line with the service's order sheet. The sheet is a
// stored object that only the current owner can replace, so an old owner's orders never
// get this far; comparing with what the engine reports covers engines that ignore fences.
func (a *Agent) reconcile(ctx context.Context) {
	for ctx.Err() == nil {
		if err := a.reconcileOnce(ctx, time.Now()); err != nil {
			a.cfg.Log.Warn().Err(err).Msg("agent: order failed, will try again")
		}
		pauser.Pause(ctx, reconcileEvery)
	}
}

func (a *Agent) reconcileOnce(ctx context.Context, now time.Time) error {
	s := a.cfg.Watcher.Catalogue().Services[a.cfg.Settings.Service]
	if s == nil || s.Orders == nil || !a.backend.healthy.Load() || a.leaving.Load() {
		return nil
	}
	if a.cfg.Watcher.LeaseState(now) != watcher.LeaseCurrent {
		return nil
	}
	wanted, ok := s.Orders.Versions[a.cfg.Settings.Instance]
	if !ok {
		return nil
	}
	for _, o := range missingOrders(wanted, *a.backend.loaded.Load()) {
		o.Fence = s.Orders.Fence
		if err := a.backend.order(ctx, o); err != nil {
			return err
		}
		a.cfg.Log.Info().Str("action", o.Action).Str("version", string(o.Version)).Uint64("fence", uint64(o.Fence)).Msg("agent: order done")
	}
	return nil
}

// missingOrders lists what turns loaded into wanted, loads first so that capacity never dips.
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
