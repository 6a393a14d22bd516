package demo_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/baobabspool/baobabspool/internal/demo"
)

func BenchmarkOverhead(b *testing.B) {
	for _, n := range []int{1, 2, 4, 8} {
		r, err := demo.MeasureOverhead(context.Background(), n, 40, 16)
		fmt.Printf("%d callers: %+v %v\n", n, r, err)
	}
}
