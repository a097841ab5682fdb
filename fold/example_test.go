package fold_test

import (
	"fmt"

	"github.com/hollowgrade/hollowgrade"
	"github.com/hollowgrade/hollowgrade/fold"
)

// Two operators change the same item from the same revision. The log orders their records; every
// box applies the first and skips the second.
func ExampleState_Apply() {
	s := fold.New()
	for i, by := range []string{"ann", "bob"} {
		c, err := fold.NewChange("policy", "default", 0, "text of "+by, by, by)
		if err != nil {
			fmt.Println(err)
			return
		}
		b, err := c.Encode()
		if err != nil {
			fmt.Println(err)
			return
		}
		s, err = s.Apply(hollowgrade.Record{Offset: int64(i), Body: b})
		fmt.Println(by, err)
	}
	v, _ := s.Item("policy", "default")
	fmt.Println(v.Revision, string(v.Body))
	// Output:
	// ann <nil>
	// bob record replaces a revision that is not current: policy default is at 1, not 0
	// 1 "text of ann"
}
