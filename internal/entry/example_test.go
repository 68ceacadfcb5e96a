package entry_test

import (
	"fmt"

	"github.com/persimmoncart/persimmoncart"
	"github.com/persimmoncart/persimmoncart/internal/entry"
)

func ExampleStandaloneMembers() {
	a := &entry.StandaloneMembers{Instance: persimmoncart.Instance{ID: "i1"}}
	for _, m := range a.View() {
		fmt.Println(m.Instance.ID, m.State)
	}
	// Output: i1 alive
}
