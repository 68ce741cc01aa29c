package registrar

import (
	"testing"

	"github.com/bramleyhinge/bramleyhinge/internal/seeder"
)

func TestMain(m *testing.M) { seeder.Main(m) }
