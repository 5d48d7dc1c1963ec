package formation

import (
	"math"

	"shedkeel.org/shedkeel"
)

const (
	// statedWeight is how many requests the stated shares of models weigh
	// against those that were measured in the last seconds.
	statedWeight = 200.0
	// sameDemand is up to how many times a measured share may differ from the
	// stated one and count as the same. On calm days of 130 requests a second
	// measured shares swing by a tenth; a burst of 1.6 times the one model's
	// requests and 0.7 times the other's, for 14 s, is over before a group that
	// is given up for it has paid: 0.802 of the worth with 1.25, 0.812 without.
	sameDemand = 1.5
)

// shares returns the part of all work that each model has, as boxes do it: as
// stated where little was measured or it is about the same, else as measured.
// The stated shares are only what is expected before any work comes.
func shares(engine *shedkeel.Engine, demand map[shedkeel.ModelID]shedkeel.ModelDemand) map[shedkeel.ModelID]float64 {
	stated := map[shedkeel.ModelID]float64{}
	total, work, requests := 0.0, 0.0, 0.0
	for index := range engine.Models {
		model := &engine.Models[index]
		stated[model.ID] = model.Share
		total += model.Share
		work += boxWork(engine, model, demand[model.ID])
		requests += demand[model.ID].Requests
	}
	usable := work > 0 && requests > 0 && !math.IsInf(work, 0) && !math.IsInf(requests, 0) // false if one is not a number
	if !usable || total <= 0 {
		return stated
	}
	weight := requests / (requests + statedWeight)
	measured := map[shedkeel.ModelID]float64{}
	same := true
	for index := range engine.Models {
		model := &engine.Models[index]
		share := weight*total*boxWork(engine, model, demand[model.ID])/work + (1-weight)*model.Share
		measured[model.ID] = share
		same = same && share <= sameDemand*model.Share && model.Share <= sameDemand*share
	}
	if same {
		return stated
	}
	return measured
}

// boxWork is the time that boxes spend on what was asked of a model, in
// seconds: reading prompts, and what each request adds to the steps in which
// answers are written. The steps themselves are shared by all that run.
func boxWork(engine *shedkeel.Engine, model *shedkeel.Model, asked shedkeel.ModelDemand) float64 {
	if engine.ReadPerSecond <= 0 {
		return 0
	}
	group := asked.PromptTokens/engine.ReadPerSecond + asked.AnswerTokens*engine.StepEach.Seconds()
	return group * model.Slowdown() * float64(model.Size)
}
