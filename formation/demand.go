package formation

import (
	"math"

	"shedkeel.org/shedkeel"
)

const (
	// configuredWeight is the number of measured requests at which measured and
	// configured shares have equal weight.
	configuredWeight = 200.0
	// sameDemandRatio is the ratio of a model's averaged share (workShares) to the configured one,
	// or the reverse, up to which the two count as equal. Measured shares vary by a tenth at a
	// steady 130 requests per second, and a burst of 14 s ends before the move of a group pays off.
	sameDemandRatio = 1.5
)

// workShares returns each model's share of the total work, in box time (boxWork), with the same sum
// as the configured shares. It averages measured and configured shares. It returns the configured
// ones if a sum is not positive, a measured sum is not finite, or all averages are within
// sameDemandRatio of them.
func workShares(engine *shedkeel.Engine, demand map[shedkeel.ModelID]shedkeel.ModelDemand) map[shedkeel.ModelID]float64 {
	configured := map[shedkeel.ModelID]float64{}
	total, work, requests := 0.0, 0.0, 0.0
	for index := range engine.Models {
		model := &engine.Models[index]
		configured[model.ID] = model.Share
		total += model.Share
		work += boxWork(engine, model, demand[model.ID])
		requests += demand[model.ID].Requests
	}
	usable := work > 0 && requests > 0 && !math.IsInf(work, 0) && !math.IsInf(requests, 0) // false also for NaN
	if !usable || total <= 0 {
		return configured
	}
	// The more requests were measured, the less the configured shares count: they are only an
	// estimate from before any request arrived.
	weight := requests / (requests + configuredWeight)
	measured := map[shedkeel.ModelID]float64{}
	same := true
	for index := range engine.Models {
		model := &engine.Models[index]
		share := weight*total*boxWork(engine, model, demand[model.ID])/work + (1-weight)*model.Share
		measured[model.ID] = share
		same = same && share <= sameDemandRatio*model.Share && model.Share <= sameDemandRatio*share
	}
	if same {
		return configured
	}
	return measured
}

// boxWork returns the box time that the demand for a model takes: the seconds for which a group
// works, times its boxes. It leaves out the base time of a decoding step, which all running requests
// share. It is 0 if the engine's times are not known.
func boxWork(engine *shedkeel.Engine, model *shedkeel.Model, demand shedkeel.ModelDemand) float64 {
	if engine.ReadPerSecond <= 0 {
		return 0
	}
	// A group takes time to prefill the prompts, and each request adds time to the decoding steps.
	seconds := demand.PromptTokens/engine.ReadPerSecond + demand.AnswerTokens*engine.StepPerRequest.Seconds()
	return seconds * model.EffectiveSlowdown() * float64(model.Size)
}
