package order_test

import (
	"testing"

	"github.com/baobabspool/baobabspool/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m, map[string]string{"rapid.seed": "20260512"}) }
