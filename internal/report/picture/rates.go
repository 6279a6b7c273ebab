package picture

import (
	"image/color"
	"slices"

	"github.com/corkpulley/corkpulley/internal/report/timeline"
)

// without returns the labels except the excluded one.
func without(labels []string, excluded string) []string {
	return slices.DeleteFunc(slices.Clone(labels), func(label string) bool { return label == excluded })
}

func requestsPicture(source *timeline.Timeline) func(*timeAxis) (Picture, error) {
	return func(axis *timeAxis) (Picture, error) {
		rates := source.Requests
		return render(Picture{
			Name: "requests", Title: "Requests by their end",
			Caption: "Answers to live requests, and error answers by kind (those to trainers' calls too). The two scales differ.",
		},
			axis.ratePanel("answered", rates, []string{timeline.Answered}, []color.RGBA{green}),
			axis.ratePanel("refused, by kind", rates, without(rates.Labels(), timeline.Answered), seriesColors))
	}
}

func triesPicture(source *timeline.Timeline) func(*timeAxis) (Picture, error) {
	return func(axis *timeAxis) (Picture, error) {
		rates := source.Tries
		return render(Picture{
			Name: "tries", Title: "Engine tries by outcome",
			Caption: "Each time a live request was sent, or was to be sent, to an engine. The two scales differ.",
		},
			axis.ratePanel("answered", rates, []string{timeline.Answered}, []color.RGBA{green}),
			axis.ratePanel("not answered", rates, without(rates.Labels(), timeline.Answered), seriesColors))
	}
}

func contactPicture(source *timeline.Timeline) func(*timeAxis) (Picture, error) {
	return func(axis *timeAxis) (Picture, error) {
		changes := []string{timeline.ContactLost, timeline.ContactRegained}
		paths := []string{timeline.PathThroughPeer, timeline.PathDirect}
		return render(Picture{
			Name: "contact", Title: "Contact with the log",
			Caption: "Topics, index partitions and the lease lost or regained; calls that began to go through another node, or " +
				"directly again; topics read in full, of which some is the first progress after an outage.",
		},
			axis.ratePanel("contact lost and regained", source.Contact, changes, []color.RGBA{red, green}),
			axis.ratePanel("path to the log changed", source.Contact, paths, []color.RGBA{orange, sky}),
			axis.ratePanel("topics read in full", source.Topics, source.Topics.Labels(), seriesColors))
	}
}

func nodesPicture(source *timeline.Timeline) func(*timeAxis) (Picture, error) {
	return func(axis *timeAxis) (Picture, error) {
		events := []string{timeline.NodeStarted, timeline.NodeStopping, timeline.NodeStopped}
		return render(Picture{
			Name: "nodes", Title: "Nodes started and stopped",
			Caption: "A process that is killed has no line; only its next start shows.",
		}, axis.ratePanel("starts and planned stops", source.Processes, events, []color.RGBA{blue, orange, gray}))
	}
}
