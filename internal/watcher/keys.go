// Package watcher applies accepted configuration: it watches the platform, relays changes between
// processes and decides whether a process may still trust its copy.
package watcher

import (
	"strings"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

// Prefix starts the keys of all objects that every process follows.
const Prefix = "config/"

const (
	documentPrefix = Prefix + "services/"
	rolloutPrefix  = Prefix + "rollouts/"
	orderPrefix    = Prefix + "orders/"
	ownerPrefix    = Prefix + "holders/"
	historyPrefix  = "history/"
)

// QuarantineKey is the key of the list of requests that crashed backend servers.
const QuarantineKey = Prefix + "quarantine"

// DocumentKey returns the key of a service document.
func DocumentKey(s model.ServiceID) string { return documentPrefix + string(s) }

// RolloutKey returns the key of a service's roll-out state.
func RolloutKey(s model.ServiceID) string { return rolloutPrefix + string(s) }

// OrderKey returns the key of a service's load orders.
func OrderKey(s model.ServiceID) string { return orderPrefix + string(s) }

// OwnerKey returns the key of the object that names a service's owner.
func OwnerKey(s model.ServiceID) string { return ownerPrefix + string(s) }

// HistoryPrefix returns the prefix of the keys under which a service's replaced documents are kept.
func HistoryPrefix(s model.ServiceID) string { return historyPrefix + string(s) + "/" }

// isRelevant reports whether a process that serves one service needs an object; an empty service
// means that it needs all of them.
func isRelevant(key string, service model.ServiceID) bool {
	return service == "" || key == QuarantineKey || strings.HasSuffix(key, "/"+string(service))
}
