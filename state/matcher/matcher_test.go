package matcher_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"monsoonspar.example/state/matcher"
)

func table() *matcher.Table {
	return matcher.NewTable(&matcher.Manifest{
		Version: 3,
		Routes: []matcher.Route{
			{Name: "all", Host: "a.example", Prefix: "/", Shares: []matcher.Share{{Service: "web"}}},
			{Name: "deep", Host: "a.example", Prefix: "/x/y/", Shares: []matcher.Share{{Service: "web"}}, Public: true},
			{Name: "mid", Host: "a.example", Prefix: "/x/", Shares: []matcher.Share{{Service: "web", Weight: 90}, {Service: "new", Weight: 10}}},
		},
		Customers: []matcher.Customer{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	})
}

func ExampleTable_Route() {
	for _, path := range []string{"/x/y/z?q=/other/", "/x/y", "/x", "/"} {
		r, _ := table().Route("A.example:8080", path)
		fmt.Println(path, r.Name)
	}
	// Output:
	// /x/y/z?q=/other/ deep
	// /x/y mid
	// /x all
	// / all
}

func TestRejectsUnknownHostsAndKeys(t *testing.T) {
	tab := table()
	_, err := tab.Route("b.example", "/x/")
	assert.ErrorIs(t, err, matcher.ErrNoRoute)
	r, err := tab.Route("a.example", "/x/")
	assert.NilError(t, err)
	for key, want := range map[string]string{"k1": "one", "k2": "one", "k3": "two"} {
		c, err := tab.Customer(r, key)
		assert.NilError(t, err)
		assert.Equal(t, c.Name, want)
	}
	for _, key := range []string{"", "k4"} {
		_, err := tab.Customer(r, key)
		assert.ErrorIs(t, err, matcher.ErrUnknownKey)
	}
	public, err := tab.Route("a.example", "/x/y/")
	assert.NilError(t, err)
	c, err := tab.Customer(public, "k4")
	assert.NilError(t, err)
	assert.Equal(t, c.Name, "")
}

func TestServiceFollowsWeights(t *testing.T) {
	r, err := table().Route("a.example", "/x/")
	assert.NilError(t, err)
	counts := map[string]int{}
	for i := range 10000 {
		id := fmt.Sprint("request-", i)
		counts[r.Service(id)]++
		assert.Equal(t, r.Service(id), r.Service(id))
	}
	assert.Assert(t, counts["new"] > 800 && counts["new"] < 1200, "%v", counts)
}
