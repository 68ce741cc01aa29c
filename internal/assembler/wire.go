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

// shared builds what both roles have.
var shared = wire.NewSet(
	provideLog, provideTLS, provideSelf, providePool, provideServer, provideClient,
	provideWatcher, meter.New,
	wire.Bind(new(storer.Store), new(*storer.Client)),
	wire.Bind(new(storer.Lister), new(*storer.Client)),
)

var entrySet = wire.NewSet(
	shared, provideWork, provideLedger, provideEntryRecords, signer.New, provideOwner, provideEntry, provideEntryProcess,
)

var agentSet = wire.NewSet(shared, provideAgentRecords, provideAgent, provideAgentProcess)
