package orderer_test

import (
	"fmt"
	"time"

	"monsoonspar.example/coordination/leaser"
	"monsoonspar.example/coordination/orderer"
	"monsoonspar.example/state/cataloger"
)

func Example() {
	now := time.Unix(0, 0)
	cfg := orderer.DefaultSettings()
	cfg.LoadsPerMinute = 0 // Unlimited.
	o := orderer.New(cfg)
	term := leaser.Term{FencingToken: 17, Until: now.Add(20 * time.Second), SafeFrom: now}
	view := orderer.View{
		Desired: []orderer.Desired{{
			Endpoint:   "milano-a-gpu-1",
			Placements: []cataloger.Placement{{Model: "redazione", Version: "2"}},
		}},
		Observed: []orderer.Observed{{Endpoint: "milano-a-gpu-1", At: now}},
	}
	for _, ord := range o.Plan(now, term, view) {
		fmt.Println(ord.ID, ord.Kind, ord.Placement.Model, ord.Placement.Version)
		o.Finish(now, ord, orderer.ResultDone)
	}
	// Output: 17/1 load redazione 2
}
