package experimenter

import (
	"fmt"
	"math/bits"

	"monsoonspar.example/coordination/admitter"
	"monsoonspar.example/state/estimator"
)

// samplesPerClass is the number of samples recorded for a class of exact lengths.
const samplesPerClass = 200

// setExactLength discloses the output length of req to the controller: MaxTokens
// is exact, and each narrow range of lengths has an estimator class of its own,
// for which samples are recorded beforehand.
func (n *controllerNode) setExactLength(req *admitter.Request, output int) {
	shift := max(0, bits.Len(uint(output))-4)
	top := (output>>shift+1)<<shift - 1
	req.Kind = fmt.Sprintf("%s-%d", req.Kind, top)
	req.MaxTokens = output
	est := n.daemon.estimator
	c := estimator.Class{Model: req.Model, Customer: req.Customer, Kind: req.Kind}
	if est.Samples(c) > samplesPerClass/2 {
		return
	}
	for range samplesPerClass {
		est.Record(c, top)
	}
}
