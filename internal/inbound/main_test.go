package inbound

import (
	"testing"

	"github.com/persimmoncart/persimmoncart/internal/testmain"
)

func TestMain(m *testing.M) { testmain.Run(m) }
