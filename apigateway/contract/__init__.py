"""The types of the decision module's contract, which `apigateway.messages` exports."""
