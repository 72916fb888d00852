//! Fits a linear model to the rows of a sweep by ordinary least squares.

use std::collections::BTreeMap;
use std::path::Path;

use linregress::{FormulaRegressionBuilder, RegressionDataBuilder};

/// The errors of a fit.
#[derive(Debug, thiserror::Error)]
pub enum FitError {
    /// The rows could not be read.
    #[error("{path}: {source}")]
    Read {
        /// The path of the file.
        path: String,
        /// The underlying error.
        source: std::io::Error,
    },
    /// A column does not exist or contains a value that is not a number.
    #[error("no column `{0}` of numbers")]
    Column(String),
    /// The rows do not determine the slopes.
    #[error("cannot fit: {0}")]
    Regression(#[from] linregress::Error),
}

/// A fitted linear model `y = intercept + sum(slope * x)`.
#[derive(Debug, Clone, PartialEq)]
pub struct Fit {
    /// The value of y where every x is 0.
    pub intercept: f64,
    /// The name and slope of each x, in the order of the request.
    pub slopes: Vec<(String, f64)>,
    /// The share of the variance of y that the model explains.
    pub r_squared: f64,
}

/// Reads tab-separated rows under a header line. Returns the columns that contain only numbers, by
/// name, or an error if the file cannot be read.
pub fn read_columns(path: &Path) -> Result<BTreeMap<String, Vec<f64>>, FitError> {
    let text = std::fs::read_to_string(path).map_err(|source| FitError::Read {
        path: path.display().to_string(),
        source,
    })?;
    let mut lines = text.lines();
    let names: Vec<&str> = lines.next().unwrap_or_default().split('\t').collect();
    let rows: Vec<Vec<&str>> = lines.map(|line| line.split('\t').collect()).collect();
    let parse_column = |index: usize| -> Option<Vec<f64>> {
        let values = rows.iter().map(|row| row.get(index)?.parse().ok());
        values.collect()
    };
    let columns = names.iter().enumerate();
    Ok(columns
        .filter_map(|(index, name)| Some(((*name).to_owned(), parse_column(index)?)))
        .collect())
}

/// Returns the column `name`, or the product of columns if `name` is of the form `a*b`.
fn column_or_product(
    columns: &BTreeMap<String, Vec<f64>>,
    name: &str,
) -> Result<Vec<f64>, FitError> {
    let mut product: Option<Vec<f64>> = None;
    for factor in name.split('*') {
        let values = columns.get(factor);
        let values = values.ok_or_else(|| FitError::Column(factor.to_owned()))?;
        product = Some(match product {
            None => values.clone(),
            Some(partial_product) => partial_product
                .iter()
                .zip(values)
                .map(|(a, b)| a * b)
                .collect(),
        });
    }
    product.ok_or_else(|| FitError::Column(name.to_owned()))
}

/// Fits column `y` as a linear function of the columns `xs`, where `a*b` is the product of two
/// columns. Returns an error if a column is not one of numbers or the rows do not determine the
/// slopes.
pub fn fit_columns(
    columns: &BTreeMap<String, Vec<f64>>,
    y: &str,
    xs: &[String],
) -> Result<Fit, FitError> {
    // The library may not accept the names of products, so it gets generated names.
    let names: Vec<String> = (0..xs.len()).map(|index| format!("x{index}")).collect();
    let mut data = vec![("y".to_owned(), column_or_product(columns, y)?)];
    for (name, x) in names.iter().zip(xs) {
        data.push((name.clone(), column_or_product(columns, x)?));
    }
    let data = RegressionDataBuilder::new().build_from(data)?;
    let model = FormulaRegressionBuilder::new()
        .data(&data)
        .data_columns("y", names.iter().map(String::as_str))
        .fit()?;
    let slopes = model.iter_parameter_pairs().zip(xs);
    Ok(Fit {
        intercept: model.parameters()[0],
        slopes: slopes.map(|((_, slope), x)| (x.clone(), slope)).collect(),
        r_squared: model.rsquared(),
    })
}
