// Package watcher brings accepted configuration into force: it watches the platform,
// relays changes between processes and judges whether a process may still trust its copy.
package watcher

import (
	"strings"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Prefix is the part of the object API that every process follows.
const Prefix = "config/"

const (
	documentPrefix = Prefix + "services/"
	rolloutPrefix  = Prefix + "rollouts/"
	orderPrefix    = Prefix + "orders/"
	holderPrefix   = Prefix + "holders/"
	historyPrefix  = "history/"
)

// QuarantineKey holds the requests that crashed backend servers.
const QuarantineKey = Prefix + "quarantine"

// DocumentKey returns the key of a service document.
func DocumentKey(s model.ServiceID) string { return documentPrefix + string(s) }

// RolloutKey returns the key of a service's roll-out state.
func RolloutKey(s model.ServiceID) string { return rolloutPrefix + string(s) }

// OrderKey returns the key of a service's order sheet.
func OrderKey(s model.ServiceID) string { return orderPrefix + string(s) }

// OwnerKey returns the key that names a service's owner.
func OwnerKey(s model.ServiceID) string { return holderPrefix + string(s) }

// HistoryPrefix returns the prefix of a service's replaced documents.
func HistoryPrefix(s model.ServiceID) string { return historyPrefix + string(s) + "/" }

// concerns reports whether an object matters to a process that serves one service.
func concerns(key string, service model.ServiceID) bool {
	return service == "" || key == QuarantineKey || strings.HasSuffix(key, "/"+string(service))
}
