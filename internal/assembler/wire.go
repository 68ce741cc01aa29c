//go:build wireinject

package assembler

import (
	"github.com/google/wire"

	"github.com/bramleyhinge/bramleyhinge/internal/meter"
	"github.com/bramleyhinge/bramleyhinge/internal/signer"
	"github.com/bramleyhinge/bramleyhinge/internal/storer"
	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

//go:generate go tool wire

// NewEntry builds an entry process from its settings.
func NewEntry(s *model.Settings, out Output) (*EntryProcess, error) {
	wire.Build(entrySet)
	return nil, nil
}

// NewAgent builds an agent process from its settings.
func NewAgent(s *model.Settings, out Output) (*AgentProcess, error) {
	wire.Build(agentSet)
	return nil, nil
}

// sharedSet provides the dependencies of both roles.
var sharedSet = wire.NewSet(
	provideLogger, provideTLS, provideSelf, providePool, provideServer, provideStoreClient,
	provideWatcher, meter.New,
	wire.Bind(new(storer.Store), new(*storer.Client)),
	wire.Bind(new(storer.Lister), new(*storer.Client)),
)

var entrySet = wire.NewSet(
	sharedSet, provideWorkClient, provideLedger, provideEntryRecorderClient, signer.New, provideOwner, provideEntry, provideEntryProcess,
)

var agentSet = wire.NewSet(sharedSet, provideAgentRecorderClient, provideAgent, provideAgentProcess)
