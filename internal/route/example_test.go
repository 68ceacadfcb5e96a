package route_test

import (
	"fmt"
	"strings"

	"github.com/persimmoncart/persimmoncart/internal/route"
)

func ExampleEstimateTokens() {
	fmt.Println(route.EstimateTokens("lot 17, humidity 11 percent"))
	// Output: 7
}

func ExamplePrefixes() {
	block := strings.Repeat("abcd", 1024)
	one, two := route.Prefixes(block+"x"), route.Prefixes(block+block)
	fmt.Println(len(one), len(two), one[0] == two[0])
	// Output: 1 2 true
}
