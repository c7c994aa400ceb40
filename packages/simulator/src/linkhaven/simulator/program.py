"""The command line of linkhaven-simulator."""

from cleo.helpers import argument, option

from linkhaven.api import ServiceError
from linkhaven.stage.fleet import DEPLOYMENTS
from linkhaven.wire.console import CodedCommand, run_application
from linkhaven.wire.settings import read_settings

from .answer import answer_question, format_table
from .question import example_question, read_question


class RunCommand(CodedCommand):
    """Answers a question, as a table or as JSON."""

    name = "run"
    description = "Answer a what-if file in the simulated world: as it is, then each change."
    arguments = [argument("file", "the question as YAML or JSON")]
    options = [
        option("json", None, "answer as JSON"),
        option("seed", None, "another seed than the file's", flag=False),
    ]

    def act(self):
        document = read_settings(self.argument("file"))
        if self.option("seed"):
            if not self.option("seed").isdigit():
                raise ServiceError(
                    "question_invalid",
                    places=[{"place": "--seed", "fault": "is not a whole number"}],
                )
            document["seed"] = int(self.option("seed"))
        answer = answer_question(read_question(document))
        if self.option("json"):
            return self.show(answer)
        self.line(format_table(answer))


class CheckCommand(CodedCommand):
    """Checks a question without simulating it."""

    name = "check"
    description = "Check a what-if file without running it."
    arguments = [argument("file", "the question as YAML or JSON")]

    def act(self):
        read_question(read_settings(self.argument("file")))
        self.line("The question fits.")


class ExampleCommand(CodedCommand):
    """Prints the question file of a shipped deployment."""

    name = "example"
    description = "Print one of the two deployments as a what-if file."
    arguments = [argument("deployment", "licensing, archive or licensing-tenants")]

    def act(self):
        if self.argument("deployment") not in DEPLOYMENTS:
            raise ServiceError(
                "question_invalid",
                places=[
                    {"place": "deployment", "fault": f"is not one of {', '.join(DEPLOYMENTS)}"}
                ],
            )
        self.show(example_question(self.argument("deployment")))


def main():
    """Run the command that the command line names."""
    run_application("linkhaven-simulator", [RunCommand(), CheckCommand(), ExampleCommand()])
